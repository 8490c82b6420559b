// A process of this program's own, such as an assigner: started, looked at, stopped in order or killed.
#pragma once

#include <sys/types.h>

#include <csignal>
#include <string>
#include <vector>

namespace beamshunt::process {

class Child {
 public:
  // Standard output and error go to the file `log`, or where this process's go if there is none. Throws
  // std::runtime_error if it can't be started; a program that does not exist ends with 127.
  Child(const std::string& program, std::vector<std::string> arguments, const std::string& log = {});
  ~Child() { kill(); }  // none outlives its owner, not even one that is itself killed
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void signal(int number) const;
  void request_stop() const { signal(SIGTERM); }
  void kill();  // SIGKILL, and waits for its end
  // SIGTERM, and waits for at most `most_ms`: its exit status, or -1 if it had to be killed or was before. Of
  // one that has ended, the status it ended with.
  int stop(double most_ms);
  bool has_exited();  // by itself
  double cpu_seconds() const;
  double resident_kib() const;

 private:
  pid_t pid_ = -1;  // -1 once it has ended
  int status_ = -1;
};

}  // namespace beamshunt::process
