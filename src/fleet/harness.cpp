#include "fleet/harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <stdexcept>

#include "fleet/wire.hpp"

extern char** environ;

namespace dunlinwick::fleet {

namespace {
std::string text(const loop::Address& a) {
  char ip[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &a.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(a.sin_port));
}
}  // namespace

loop::Address Harness::at(std::size_t i, std::uint16_t port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | static_cast<std::uint32_t>(10 + i));
  a.sin_port = htons(port);
  return a;
}

Harness::Harness(loop::Loop& loop, Plan plan) : loop_(loop), plan_(std::move(plan)) {
  std::size_t n = plan_.zoneOf.size();
  if (n < 2 || n > 64) throw std::runtime_error("a fleet of 2 to 64 fronts");
  std::vector<loop::Address> fronts;
  for (std::size_t i = 0; i < n; ++i) fronts.push_back(at(i, plan_.port));
  relay_ = std::make_unique<Relay>(loop_, fronts, static_cast<std::uint16_t>(plan_.port + 1), plan_.seed);
  loop::Address mine{};
  mine.sin_family = AF_INET;
  mine.sin_addr.s_addr = htonl(127u << 24 | 2);
  int fd = loop_.ground().openDatagrams(mine);
  if (fd < 0) throw std::runtime_error("no socket to ask the fronts for their views");
  asker_ = loop::Descriptor(loop_.ground(), fd);
  pids_.assign(n, 0);
  for (std::size_t i = 0; i < n; ++i) start(i);
}

Harness::~Harness() {
  for (pid_t& pid : pids_)
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      pid = 0;
    }
}

std::string Harness::configuration(std::size_t i) const {
  std::string zones, members;
  for (std::size_t z = 0; z < plan_.zones.size(); ++z)
    zones += (z ? "," : "") + std::string("{\"name\":\"") + plan_.zones[z] + "\",\"region\":\"" + plan_.regions[z] + "\"}";
  for (std::size_t j = 0; j < plan_.zoneOf.size(); ++j) {
    loop::Address to = j == i ? at(i, plan_.port) : Relay::face(i, j, static_cast<std::uint16_t>(plan_.port + 1));
    members += (j ? "," : "") + std::string("{\"id\":") + std::to_string(j) + ",\"at\":\"" + text(to) +
               "\",\"zone\":\"" + plan_.zones[static_cast<std::size_t>(plan_.zoneOf[j])] + "\"}";
  }
  std::string block = ",\"fleet\":{\"self\":" + std::to_string(i) + ",\"listen\":\"" + text(at(i, plan_.port)) +
                      "\",\"zones\":[" + zones + "],\"members\":[" + members + "],\"period_ms\":" +
                      std::to_string(static_cast<int>(plan_.periodMs)) + ",\"probe_timeout_ms\":" +
                      std::to_string(static_cast<int>(plan_.probeTimeoutMs)) + ",\"hold_back_ms\":" +
                      std::to_string(static_cast<int>(plan_.holdBackMs)) + "}";
  std::string front = plan_.front;
  std::size_t end = front.find_last_of('}');
  if (end == std::string::npos) throw std::runtime_error("the front's configuration is no JSON object");
  return front.substr(0, end) + block + "}\n";
}

void Harness::start(std::size_t i) {
  std::string name = plan_.folder + "/front-" + std::to_string(i);
  std::ofstream(name + ".json") << configuration(i);
  std::string listen = text(at(i, static_cast<std::uint16_t>(plan_.port + 200)));
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 2, (name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string words[] = {plan_.program, "serve", "--config", name + ".json", "--listen", listen};
  char* args[] = {words[0].data(), words[1].data(), words[2].data(), words[3].data(), words[4].data(),
                  words[5].data(), nullptr};
  int fault = ::posix_spawn(&pids_[i], plan_.program.c_str(), &actions, nullptr, args, environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (fault != 0) throw std::runtime_error(plan_.program + " cannot be started");
}

void Harness::kill(std::size_t i) {
  if (pids_.at(i) <= 0) return;
  ::kill(pids_[i], SIGKILL);
  ::waitpid(pids_[i], nullptr, 0);
  pids_[i] = 0;
}
void Harness::pause(std::size_t i) {
  if (pids_.at(i) > 0) ::kill(pids_[i], SIGSTOP);
}
void Harness::resume(std::size_t i) {
  if (pids_.at(i) > 0) ::kill(pids_[i], SIGCONT);
}
void Harness::restart(std::size_t i) {
  kill(i);
  start(i);
}

void Harness::wait(double ms) {
  double end = loop_.now() + ms;
  while (loop_.now() < end) loop_.turn(std::min(20.0, end - loop_.now()));
}

std::optional<json::Value> Harness::view(std::size_t i) {
  loop::Address front = at(i, plan_.port);
  loop_.ground().sendTo(asker_.get(), std::string_view(viewRequest, 3), front);
  constexpr double within = 300;
  double end = loop_.now() + within;
  char buffer[65536];
  while (loop_.now() < end) {
    loop::Address from{};
    ssize_t got = loop_.ground().receiveFrom(asker_.get(), buffer, from);
    if (got > 0 && from.sin_addr.s_addr == front.sin_addr.s_addr) {
      auto v = json::read(std::string_view(buffer, static_cast<std::size_t>(got)));
      if (v && v->kind == json::Kind::object) return v;
    }
    loop_.turn(5);  // the relay goes on meanwhile
  }
  return std::nullopt;
}

}  // namespace dunlinwick::fleet
