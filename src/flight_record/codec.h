// The fields of the policy's settings, events and actions, in the order in which a flight record keeps them.
// The bytes have no names: a change of the fields, their order or their types is a new kFormatVersion
// (format.h).
#pragma once

#include "base/archive.h"
#include "policy/controller.h"

namespace beamshunt {

template <class A>
void fields(A& a, RequestClass& x) {
  a(x.latency_objective, x.deadline, x.idempotency_window, x.priority_weight, x.semantics,
    x.idempotency_scope, x.local_only);
}
template <class A>
void fields(A& a, Settings& x) {
  a(x.seed, x.classes, x.localities, x.own_locality, x.local_proxies_only, x.endpoint_list_by_subscription,
    x.health_checks_allowed, x.single_writer, x.shard_count, x.admission_limit_kind, x.default_retry_mode,
    x.attempt_timeout_factor, x.channel_lines_per_second, x.message_overhead_lines, x.max_queued_lines,
    x.proxy_count, x.connection_idle_timeout, x.max_messages_per_window, x.message_window, x.update_delay,
    x.max_update_delay, x.load_reports_by_health_check, x.report_period, x.subscription_lifetime,
    x.max_time_without_endpoints, x.lease, x.lease_settle_time, x.drain_grace_period, x.warm_up_time,
    x.overload_window, x.initial_capacity, x.overload_multiple, x.removal_is_advisory);
}
template <class A>
void fields(A& a, ListedEndpoint& x) {
  a(x.id, x.locality, x.cell, x.capacity, x.state, x.start_time, x.start_time_known);
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
void fields(A& a, HealthCheckResult& x) {
  a(x.endpoint, x.outcome, x.duration, x.load);
}
template <class A>
void fields(A& a, PeerMessage& x) {
  a(x.sender, x.payload);
}
template <class A>
void fields(A& a, ProxyRegistered& x) {
  a(x.proxy, x.locality, x.expected_rate, x.only_static_tables);
}
template <class A>
void fields(A& a, ProxyDisconnected& x) {
  a(x.proxy);
}
template <class A>
void fields(A& a, UpdateAcknowledged& x) {
  a(x.proxy, x.delay, x.sequence_number);
}
template <class A>
void fields(A& a, EndpointReport& x) {
  a(x.source_locality, x.endpoint, x.attempts, x.failed, x.mean_latency, x.interval, x.load);
}
template <class A>
void fields(A& a, DemandReport& x) {
  a(x.proxy, x.request_class, x.arrivals, x.failed, x.interval);
}
template <class A>
void fields(A& a, ShardDemandReport& x) {
  a(x.shard, x.request_class, x.arrivals, x.failed, x.interval);
}
template <class A>
void fields(A& a, ShardAssigned& x) {
  a(x.shard, x.assigned);
}
template <class A>
void fields(A& a, ShardOwnerReported& x) {
  a(x.shard, x.endpoint, x.weight);
}
template <class A>
void fields(A& a, SharedChannelUsage& x) {
  a(x.queued_lines, x.messages_sent);
}

template <class A>
void fields(A& a, Subscribe& x) {
  a(x.active);
}
template <class A>
void fields(A&, FetchEndpoints&) {}
template <class A>
void fields(A& a, SetTimer& x) {
  a(x.deadline, x.token);
}
template <class A>
void fields(A& a, SendHealthCheck& x) {
  a(x.endpoint);
}
template <class A>
void fields(A& a, SendPeerMessage& x) {
  a(x.peer, x.to_all_peers, x.payload);
}
template <class A>
void fields(A& a, SetWeight& x) {
  a(x.table, x.endpoint, x.weight);
}
template <class A>
void fields(A& a, ClearTable& x) {
  a(x.table);
}
template <class A>
void fields(A& a, AssignTable& x) {
  a(x.classes, x.proxy, x.table);
}
template <class A>
void fields(A& a, ExcludeEndpoint& x) {
  a(x.endpoint, x.excluded);
}
template <class A>
void fields(A& a, RemoveHeldEndpoint& x) {
  a(x.proxy, x.endpoint);
}
template <class A>
void fields(A& a, SetAdmissionLimit& x) {
  a(x.table, x.all_tables, x.classes, x.limit, x.retry_mode);
}
template <class A>
void fields(A& a, AckRequest& x) {
  a(x.sequence_number, x.all_proxies);
}
template <class A>
void fields(A& a, LogMessage& x) {
  a(x.text);
}
template <class A>
void fields(A& a, InvariantViolated& x) {
  a(x.text);
}

}  // namespace beamshunt
