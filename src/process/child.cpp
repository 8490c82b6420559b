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
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (std::string& a : arguments) words.push_back(a.data());
  words.push_back(nullptr);
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot start " + program + ": " + std::strerror(errno));
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);  // it died in between
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  int out = log.empty() ? -1 : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (out >= 0) ::dup2(out, 1), ::dup2(out, 2);
  ::execv(program.c_str(), words.data());
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

int Child::stop(double most_ms) {
  request_stop();
  for (double limit = base::monotonic_ms() + most_ms; !has_exited() && base::monotonic_ms() < limit;)
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
  std::string all((std::istreambuf_iterator<char>(in)), {});
  std::size_t name_ends = all.rfind(')');  // the name may hold anything, blanks too
  if (name_ends == std::string::npos) return 0;
  std::istringstream rest(all.substr(name_ends + 2));
  std::string word;
  double ticks = 0;
  constexpr int kFirst = 3, kUser = 14, kSystem = 15;  // fields, as proc(5) counts them
  for (int k = kFirst; rest >> word && k <= kSystem; ++k)
    if (k == kUser || k == kSystem) ticks += std::stod(word);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double Child::resident_kib() const {
  std::ifstream in(fmt::format("/proc/{}/statm", pid_));
  double all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

}  // namespace beamshunt::process
