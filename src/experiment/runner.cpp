#include "experiment/runner.h"

#include <atomic>
#include <exception>
#include <mutex>
#include <set>
#include <thread>

namespace beamshunt::experiment {
namespace {

Row play(const Plan& plan, const Run& run) {
  day::Day day = plan.day(run.point);
  day.seed = run.seed;
  // Without a sample there is no look at what waits; one each half second costs little.
  Ms sample = plan.sample > 0 ? plan.sample : std::min(500.0, day.length / 4);
  emulator::EmulateOptions options{.policy = run.policy, .sample_every = sample, .clock = base::monotonic_ms};
  emulator::Emulated played = emulator::emulate(day, options);
  Row row{run, plan.values(run.point), figures_of(played, day.length), {}};
  if (plan.sample > 0) row.samples = std::move(played.samples);
  return row;
}

}  // namespace

Results run(const Plan& plan, const RunOptions& o) {
  Journal journal(o.journal, plan);
  std::set<std::string> done;
  for (const Row& row : journal.rows()) done.insert(row.run.key());
  std::vector<Run> all = runs_of(plan), left;
  for (const Run& r : all)
    if (!done.contains(r.key())) left.push_back(r);
  o.progress(all.size() - left.size(), all.size());

  std::atomic<std::size_t> next = 0;
  std::mutex one_at_a_time;
  std::exception_ptr failed;
  auto work = [&] {
    try {
      for (std::size_t k = next++; k < left.size(); k = next++) {
        Row row = play(plan, left[k]);
        std::lock_guard lock(one_at_a_time);
        journal.add(std::move(row));
        o.progress(journal.rows().size(), all.size());
      }
    } catch (...) {
      std::lock_guard lock(one_at_a_time);
      failed = std::current_exception();
      next = left.size();
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t k = 1; k < o.threads; ++k) threads.emplace_back(work);
  work();
  for (std::thread& t : threads) t.join();
  if (failed) std::rethrow_exception(failed);
  return results_of(plan, journal.rows());
}

}  // namespace beamshunt::experiment
