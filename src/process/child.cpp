#include "process/child.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "base/time.h"

namespace beamshunt::process {

Child::Child(const std::string& program, std::vector<std::string> arguments, const std::string& log) {
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot start " + program + ": " + std::strerror(errno));
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);  // the parent died before prctl() took effect
  sigset_t no_signals;
  sigemptyset(&no_signals);
  ::sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  int log_file = log.empty() ? -1 : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (log_file >= 0) ::dup2(log_file, 1), ::dup2(log_file, 2);
  ::execv(program.c_str(), argument_pointers.data());
  ::_exit(127);
}

void Child::kill() {
  if (pid_ < 0) return;
  ::kill(pid_, SIGKILL);
  while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
}

void Child::signal(int number) const {
  if (pid_ >= 0) ::kill(pid_, number);
}

int Child::stop(double timeout_ms) {
  request_stop();
  for (double deadline = base::monotonic_ms() + timeout_ms; !has_exited() && base::monotonic_ms() < deadline;)
    ::usleep(2000);
  kill();
  return status_;
}

bool Child::has_exited() {
  int status = 0;
  if (pid_ >= 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  return pid_ < 0;
}

double Child::cpu_seconds() const {
  std::ifstream in(fmt::format("/proc/{}/stat", pid_));
  std::string stat((std::istreambuf_iterator<char>(in)), {});
  // The last ")" ends the program name, which may contain any character, including spaces and parentheses.
  std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream rest(stat.substr(name_end + 2));
  std::string field;
  double ticks = 0;
  constexpr int kFirstField = 3, kUserTime = 14, kSystemTime = 15;  // field numbers of proc(5)
  for (int k = kFirstField; rest >> field && k <= kSystemTime; ++k)
    if (k == kUserTime || k == kSystemTime) ticks += std::stod(field);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double Child::resident_kib() const {
  std::ifstream in(fmt::format("/proc/{}/statm", pid_));
  double total = 0, resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

}  // namespace beamshunt::process
