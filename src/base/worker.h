// A worker thread for blocking operations, such as disk writes.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace beamshunt::base {

// Runs jobs one after another on its own thread, in the order in which they were posted. The queue is bounded
// by the memory that the jobs use.
class Worker {
 public:
  // `max_bytes` limits the total memory of the jobs that are queued or running.
  explicit Worker(std::size_t max_bytes) : max_bytes_(max_bytes), thread_([this] { run_jobs(); }) {}
  // Waits until all queued jobs have run.
  ~Worker() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wakeup_.notify_one();
    thread_.join();
  }
  // Queues a job. `bytes` is the memory that the job uses. Returns false, without queueing the job, if the
  // limit would be exceeded. May be called from any thread.
  bool post(std::size_t bytes, std::function<void()> job) {
    {
      std::lock_guard lock(mutex_);
      if (used_bytes_ + bytes > max_bytes_) return false;
      used_bytes_ += bytes;
      jobs_.push_back({bytes, std::move(job)});
    }
    wakeup_.notify_one();
    return true;
  }

 private:
  struct Job {
    std::size_t bytes;
    std::function<void()> run;
  };
  void run_jobs() {
    std::unique_lock lock(mutex_);
    while (true) {
      wakeup_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      Job job = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      job.run();
      lock.lock();
      used_bytes_ -= job.bytes;
    }
  }

  std::size_t max_bytes_, used_bytes_ = 0;
  bool stopping_ = false;
  std::deque<Job> jobs_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::thread thread_;
};

}  // namespace beamshunt::base
