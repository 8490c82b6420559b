#include "load/load.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <string>

#include "standin/traffic.h"

namespace beamshunt::load {
namespace {

constexpr double kLeast = 0.01, kMost = 1e6;  // ms that a histogram tells apart,
constexpr unsigned kBins = 3600;              // to half a percent

class Histogram {
 public:
  void add(Ms took) { counts_(std::clamp(took, kLeast, kMost * 0.999)), most_ = std::max(most_, took); }
  Latencies latencies() const {
    return {quantile(0.5), quantile(0.9), quantile(0.99), quantile(0.999), most_};
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  double quantile(double part) const {
    double all = 0, below = 0;
    for (auto&& x : boost::histogram::indexed(counts_)) all += *x;
    if (all <= 0) return 0;
    for (auto&& x : boost::histogram::indexed(counts_)) {
      below += *x;
      if (below >= part * all) return std::min(most_, x.bin().upper());
    }
    return most_;
  }
  decltype(boost::histogram::make_histogram(Axis(kBins, kLeast, kMost))) counts_ =
      boost::histogram::make_histogram(Axis(kBins, kLeast, kMost));
  Ms most_ = 0;
};

class Run {
 public:
  Run(net::Reactor& reactor, const LoadOptions& o, const std::function<void(const Loaded&)>& seconds)
      : reactor_(reactor),
        options_(o),
        seconds_(seconds),
        schedule_(o.rate, o.seed),
        random_(o.seed, 7),
        client_(reactor, http::Client::Options{.source = o.from, .max_idle_connections = o.most_open}) {}

  Loaded play() {
    begun_ = base::monotonic_ms();
    next();
    second();
    reactor_.run();
    out_.since_due = since_due_.latencies(), out_.since_sent = since_sent_.latencies();
    return out_;
  }

 private:
  void next() {
    auto at = schedule_.next();
    if (!at) {
      ended_ = true;
      return stop_if_done();
    }
    Ms due = begun_ + *at;
    reactor_.call_at(due, [this, due] {
      send(due);
      next();
    });
  }
  void second() {
    tick_ = reactor_.call_at(reactor_.now() + 1000, [this] {
      seconds_(out_);
      second();
    });
  }
  void stop_if_done() {
    if (!ended_ || open_ > 0) return;
    reactor_.cancel_timer(tick_);
    reactor_.stop();
  }
  void send(Ms due) {
    ++out_.due;
    if (open_ >= options_.most_open) {
      ++out_.not_sent;
      return;
    }
    ++open_;
    Ms sent = base::monotonic_ms();
    out_.latest_start = std::max(out_.latest_start, sent - due);
    std::uint64_t number = ++last_;
    http::Message m = standin::to_message({.request = number,
                                           .request_class = options_.request_class,
                                           .key = options_.keyed ? std::to_string(number) : "",
                                           .work_ms = standin::draw_work(options_.work, random_),
                                           .number = 1});
    net::Address to = options_.to[number % options_.to.size()];
    Ms left = std::max(1.0, due + options_.deadline - sent);
    client_.send_request(to, m, left, [this, due, sent](http::Client::Result&& a) {
      using Failure = http::Client::Failure;
      --open_;
      if (a.failure == Failure::timed_out) {
        ++out_.late;
      } else if (a.failure != Failure::none) {
        ++out_.broken;
      } else if (a.response.status == 503) {
        ++out_.refused;
      } else if (a.response.status != 200) {
        ++out_.errors;
      } else {
        Ms now = base::monotonic_ms();
        ++out_.good;
        out_.in_time += now - due <= options_.within;
        since_due_.add(now - due), since_sent_.add(now - sent);
      }
      stop_if_done();
    });
  }

  net::Reactor& reactor_;
  const LoadOptions& options_;
  const std::function<void(const Loaded&)>& seconds_;
  Schedule schedule_;
  pcg32 random_;
  http::Client client_;
  Loaded out_;
  Histogram since_due_, since_sent_;
  Ms begun_ = 0;
  net::Reactor::TimerId tick_{};
  std::uint64_t last_ = 0;
  std::size_t open_ = 0;
  bool ended_ = false;
};

}  // namespace

Loaded run(net::Reactor& reactor, const LoadOptions& options,
           const std::function<void(const Loaded&)>& seconds) {
  return Run(reactor, options, seconds).play();
}

}  // namespace beamshunt::load
