// The processes that a harness starts. Each is noted, so that an abort ends them too: no destructor
// runs then.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace dunlinwick::fleet {

// Starts words[0] with standard output to <log>.out and standard error to <log>.log, at their ends.
// Throws std::runtime_error.
pid_t StartProcess(std::vector<std::string> words, const std::string& log);
void EndProcess(pid_t& pid);  // kill -9, awaited; 0 after it, and nothing for 0

}  // namespace dunlinwick::fleet
