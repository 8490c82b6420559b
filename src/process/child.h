// Child processes, such as an assigner that a test or a measurement starts.
#pragma once

#include <sys/types.h>

#include <csignal>
#include <string>
#include <vector>

namespace beamshunt::process {

// A child process, killed when this object is destroyed or when the parent process dies, even by SIGKILL.
class Child {
 public:
  // Starts `program` with `arguments`. Its standard output and error are appended to the file `log`, or
  // inherited from this process if `log` is empty. Throws std::runtime_error if no process can be created. If
  // the program does not exist, the child exits with status 127.
  Child(const std::string& program, std::vector<std::string> arguments, const std::string& log = {});
  ~Child() { kill(); }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  // Sends a signal to the child, unless it has exited.
  void signal(int number) const;
  void request_stop() const { signal(SIGTERM); }
  // Sends SIGKILL and waits until the child has exited.
  void kill();
  // Sends SIGTERM and waits up to `timeout_ms` for the child to exit; kills it after that. Returns the exit
  // status, or -1 if a signal ended the child. If the child has exited before, returns its status at once.
  int stop(double timeout_ms);
  // Returns true if the child has exited or was killed. Does not wait.
  bool has_exited();
  // Returns the processor time that the child has used so far, in user and kernel mode.
  double cpu_seconds() const;
  // Returns the current resident set size of the child, in KiB.
  double resident_kib() const;

 private:
  pid_t pid_ = -1;   // -1 after the child has exited
  int status_ = -1;  // exit status; -1 while the child runs or if a signal ended it
};

}  // namespace beamshunt::process
