// The clients of a harness: one connection a pull, an answer's status and the place that gave it.
#include <cstdio>
#include <cstdlib>

#include "rig/harness.hpp"

namespace dunlinwick::fleet {

namespace {
constexpr std::size_t mostPulls = 200000;
constexpr Ms pullTime = 1500;  // what a client gives a pull
}  // namespace

// One client's connection, for one pull.
struct Harness::Client final : loop::Connection::Owner {
  Harness& harness;
  std::size_t pull;
  std::unique_ptr<loop::Connection> connection;
  std::string got;
  std::uint64_t timer = 0;

  Client(Harness& h, std::size_t p, const loop::Address& to, std::string request) : harness(h), pull(p) {
    connection = std::make_unique<loop::Connection>(h.loop_, *this, to, pullTime);
    connection->send(std::move(request));
    timer = h.loop_.at(h.loop_.now() + pullTime + 600, [this] { over(); });
  }
  void came() override {
    got += connection->in.bytes();
    connection->in.consume(connection->in.size());
  }
  void ended(loop::Parting) override {
    came();
    over();
  }
  void over() {
    PullSeen& p = harness.pulls_[pull];
    harness.loop_.cancel(timer);
    for (std::size_t at = got.find("HTTP/1.1 "); at != std::string::npos; at = got.find("HTTP/1.1 ", at + 1)) {
      int status = std::atoi(got.c_str() + at + 9);
      if (status < 200) continue;
      if (p.answers++ == 0) p.status = status;
    }
    if (p.answers > 0) p.answeredAt = harness.loop_.now();
    std::size_t place = got.rfind(" at ");
    if (place != std::string::npos && p.status == 200) p.place = got.substr(place + 4, got.find('\n', place) - place - 4);
    p.ended = true;
    connection->close();
    auto self = harness.clients_.extract(pull);
    harness.loop_.bury(self.mapped());
  }
};

void Harness::ask(double pullsPerS) {
  pullsPerS_ = pullsPerS;
  loop_.cancel(asking_);
  if (pullsPerS > 0) nextPull();
}

void Harness::nextPull() {
  std::size_t f = nextFront_++ % pids_.size();
  if (pulls_.size() < mostPulls) {
    std::size_t number = pulls_.size();
    char id[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(seed_ << 40 | (number + 1)));
    PullSeen p;
    p.id = id, p.front = f, p.exclusive = number % 10 == 9, p.at = loop_.now(), p.ttl = pullTime;
    unsigned object = std::uniform_int_distribution<unsigned>(0, 499)(random_);
    char request[512];
    std::snprintf(request, sizeof request,
                  "%s /ops/%s/%08x%s HTTP/1.1\r\nHost: front\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %.0f\r\nX-Group: 1\r\n"
                  "X-Memory-Kb: 40\r\nConnection: close\r\n%s\r\n%s",
                  p.exclusive ? "PUT" : "GET", p.exclusive ? "order-handover" : "video-parts",
                  p.exclusive ? static_cast<unsigned>(number) : object, p.exclusive ? "" : "?part=1", id, pullTime,
                  p.exclusive ? "Content-Length: 5\r\n" : "", p.exclusive ? "order" : "");
    pulls_.push_back(std::move(p));
    clients_[number] = std::make_shared<Client>(*this, number, at(f, static_cast<std::uint16_t>(fleet_.port + 200)), request);
  }
  asking_ = loop_.at(loop_.now() + 1000 / (pullsPerS_ * static_cast<double>(pids_.size())), [this] { nextPull(); });
}

void Harness::endClients() {
  loop_.cancel(asking_);
  for (auto& [pull, client] : clients_) loop_.cancel(client->timer);
  clients_.clear();
}

}  // namespace dunlinwick::fleet
