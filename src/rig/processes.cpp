#include "rig/processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

extern char** environ;

namespace dunlinwick::fleet {

// A test that fails ends by abort, and no destructor runs: what it started must not stay. One slot
// a process, as many as a fleet can have; kill(2) may be called from a handler.
namespace {
volatile std::sig_atomic_t started[128];
void EndStarted(int) {
  for (auto& pid : started)
    if (pid > 0)
      ::kill(static_cast<pid_t>(pid), SIGKILL);
}
void NoteStarted(pid_t pid) {
  std::signal(SIGABRT, EndStarted);
  for (auto& slot : started)
    if (slot == 0)
      return void(slot = pid);
}
void NoteEnded(pid_t pid) {
  for (auto& slot : started)
    if (slot == pid)
      slot = 0;
}
}  // namespace

void EndProcess(pid_t& pid) {
  if (pid <= 0)
    return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  NoteEnded(pid);
  pid = 0;
}

pid_t StartProcess(std::vector<std::string> words, const std::string& log) {
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 1, (log + ".out").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_addopen(&actions, 2, (log + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> args;
  for (std::string& w : words)
    args.push_back(w.data());
  args.push_back(nullptr);
  pid_t pid = 0;
  int fault = ::posix_spawn(&pid, words[0].c_str(), &actions, nullptr, args.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (fault != 0)
    throw std::runtime_error(words[0] + " cannot be started");
  NoteStarted(pid);
  return pid;
}

}  // namespace dunlinwick::fleet
