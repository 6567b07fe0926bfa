// The clients of a harness: one connection a pull, an answer's status and the place that gave it.
#include <cstdio>
#include <cstdlib>

#include "rig/harness.hpp"

namespace dunlinwick::fleet {

namespace {
constexpr std::size_t kMostRequests = 200000;
constexpr Ms kRequestTime = 1500;  // what a client gives a pull
}  // namespace

// One client's connection, for one pull.
struct Harness::Client final : loop::Connection::Owner {
  Harness& harness;
  std::size_t request;
  std::unique_ptr<loop::Connection> connection;
  std::string got;
  std::uint64_t timer = 0;

  Client(Harness& h, std::size_t p, const loop::Address& to, std::string request)
      : harness(h), request(p) {
    connection = std::make_unique<loop::Connection>(h.loop_, *this, to, kRequestTime);
    connection->Send(std::move(request));
    timer = h.loop_.RunAt(h.loop_.now() + kRequestTime + 600, [this] { Over(); });
  }
  void OnBytesReceived() override {
    got += connection->in.bytes();
    connection->in.Consume(connection->in.size());
  }
  void OnDisconnected(loop::DisconnectReason) override {
    OnBytesReceived();
    Over();
  }
  void Over() {
    RequestSeen& p = harness.requests_[request];
    harness.loop_.Cancel(timer);
    for (std::size_t at = got.find("HTTP/1.1 "); at != std::string::npos;
         at = got.find("HTTP/1.1 ", at + 1)) {
      int status = std::atoi(got.c_str() + at + 9);
      if (status < 200)
        continue;
      if (p.answers++ == 0)
        p.status = status;
    }
    if (p.answers > 0)
      p.answered_at = harness.loop_.now();
    std::size_t place = got.rfind(" at ");
    if (place != std::string::npos && p.status == 200)
      p.place = got.substr(place + 4, got.find('\n', place) - place - 4);
    p.ended = true;
    connection->Close();
    auto self = harness.clients_.extract(request);
    harness.loop_.DeferDelete(self.mapped());
  }
};

void Harness::Ask(double requests_per_s) {
  requests_per_s_ = requests_per_s;
  loop_.Cancel(asking_);
  if (requests_per_s > 0)
    NextRequest();
}

void Harness::NextRequest() {
  std::size_t f = next_front_++ % pids_.size();
  if (requests_.size() < kMostRequests) {
    std::size_t number = requests_.size();
    char id[32];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(seed_ << 40 | (number + 1)));
    RequestSeen p;
    p.id = id;
    p.front = f;
    p.exclusive = number % 10 == 9;
    p.at = loop_.now();
    p.ttl = kRequestTime;
    unsigned object = std::uniform_int_distribution<unsigned>(0, 499)(random_);
    char request[512];
    std::snprintf(request, sizeof request,
                  "%s /ops/%s/%08x%s HTTP/1.1\r\nHost: front\r\nX-Request-Id: %s\r\nX-Timeout-Ms: "
                  "%.0f\r\nX-Group: 1\r\n"
                  "X-Memory-Kb: 40\r\nConnection: close\r\n%s\r\n%s",
                  p.exclusive ? "PUT" : "GET", p.exclusive ? "order-handover" : "video-parts",
                  p.exclusive ? static_cast<unsigned>(number) : object,
                  p.exclusive ? "" : "?part=1", id, kRequestTime,
                  p.exclusive ? "Content-Length: 5\r\n" : "", p.exclusive ? "order" : "");
    requests_.push_back(std::move(p));
    clients_[number] = std::make_shared<Client>(
        *this, number, at(f, static_cast<std::uint16_t>(fleet_.port + 200)), request);
  }
  asking_ = loop_.RunAt(loop_.now() + 1000 / (requests_per_s_ * static_cast<double>(pids_.size())),
                        [this] { NextRequest(); });
}

void Harness::EndClients() {
  loop_.Cancel(asking_);
  for (auto& [request, client] : clients_)
    loop_.Cancel(client->timer);
  clients_.clear();
}

}  // namespace dunlinwick::fleet
