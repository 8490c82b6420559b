// The fields of the policy's settings, events and actions, as the flight record keeps them: in this order.
// A change of any of them is a new record version (record.h).
#pragma once

#include "base/archive.h"
#include "policy/brain.h"

namespace beamshunt {

template <class A>
void fields(A& a, RequestClass& x) {
  a(x.slo, x.deadline, x.dedup_window, x.worth, x.semantics, x.scope, x.home_only);
}
template <class A>
void fields(A& a, Settings& x) {
  a(x.seed, x.classes, x.localities, x.home, x.local_proxies_only, x.list_on_request, x.may_probe,
    x.single_writer, x.slices, x.level_kind, x.default_retry, x.retry_wait_factor, x.egress_lines_per_s,
    x.envelope_lines, x.most_waiting_lines, x.proxies, x.conn_idle, x.pushes_allowed, x.pushes_span,
    x.push_delay, x.push_delay_most, x.reports_by_probe, x.period, x.must_ask_in, x.empty_for, x.lease,
    x.settle, x.drain_grace, x.warm_up, x.fall, x.start_capacity, x.tip_multiple, x.gone_is_advice);
}
template <class A>
void fields(A& a, ListedEndpoint& x) {
  a(x.id, x.locality, x.cell, x.size, x.state, x.started, x.started_known);
}

template <class A>
void fields(A& a, EndpointList& x) {
  a(x.kind, x.entries);
}
template <class A>
void fields(A& a, TimerFired& x) {
  a(x.token);
}
template <class A>
void fields(A& a, ProbeResult& x) {
  a(x.endpoint, x.outcome, x.took, x.load);
}
template <class A>
void fields(A& a, PeerMessage& x) {
  a(x.author, x.payload);
}
template <class A>
void fields(A& a, ProxyJoined& x) {
  a(x.proxy, x.locality, x.usual_rate, x.only_standing);
}
template <class A>
void fields(A& a, ProxyLeft& x) {
  a(x.proxy);
}
template <class A>
void fields(A& a, OrderApplied& x) {
  a(x.proxy, x.took, x.serial);
}
template <class A>
void fields(A& a, EndpointHeard& x) {
  a(x.from, x.endpoint, x.tries, x.failed, x.latency, x.span, x.load);
}
template <class A>
void fields(A& a, ProxyUsage& x) {
  a(x.proxy, x.request_class, x.came, x.unanswered, x.span);
}
template <class A>
void fields(A& a, SliceUsage& x) {
  a(x.slice, x.request_class, x.came, x.unanswered, x.span);
}
template <class A>
void fields(A& a, SliceGiven& x) {
  a(x.slice, x.given);
}
template <class A>
void fields(A& a, SliceHeld& x) {
  a(x.slice, x.endpoint, x.weight);
}
template <class A>
void fields(A& a, ChannelShared& x) {
  a(x.lines, x.messages);
}

template <class A>
void fields(A& a, WatchList& x) {
  a(x.on);
}
template <class A>
void fields(A&, FetchList&) {}
template <class A>
void fields(A& a, SetTimer& x) {
  a(x.at, x.token);
}
template <class A>
void fields(A& a, Probe& x) {
  a(x.endpoint);
}
template <class A>
void fields(A& a, SendPeer& x) {
  a(x.peer, x.everyone, x.payload);
}
template <class A>
void fields(A& a, SetLine& x) {
  a(x.table, x.endpoint, x.weight);
}
template <class A>
void fields(A& a, ResetTable& x) {
  a(x.table);
}
template <class A>
void fields(A& a, Bind& x) {
  a(x.classes, x.proxy, x.table);
}
template <class A>
void fields(A& a, Withdraw& x) {
  a(x.endpoint, x.withdrawn);
}
template <class A>
void fields(A& a, Admit& x) {
  a(x.table, x.every_table, x.classes, x.level, x.retry);
}
template <class A>
void fields(A& a, Barrier& x) {
  a(x.serial, x.everyone);
}
template <class A>
void fields(A& a, Remark& x) {
  a(x.text);
}
template <class A>
void fields(A& a, DeclareFault& x) {
  a(x.text);
}

}  // namespace beamshunt
