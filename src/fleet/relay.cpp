#include "fleet/relay.hpp"

#include <arpa/inet.h>
#include <poll.h>

#include <stdexcept>
#include <string>

namespace dunlinwick::fleet {

constexpr std::size_t mostFronts = 64, mostHeld = 10000;

struct Relay::Face final : loop::Handler {
  Relay* relay = nullptr;
  std::size_t from = 0, to = 0;
  loop::Descriptor fd;
  void ready(short) override { relay->pass(*this); }
};

loop::Address Relay::face(std::size_t from, std::size_t to, std::uint16_t port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | static_cast<std::uint32_t>(100 + from));
  a.sin_port = htons(static_cast<std::uint16_t>(port + to));
  return a;
}

Relay::Relay(loop::Loop& loop, std::vector<loop::Address> fronts, std::uint16_t port, std::uint64_t seed)
    : loop_(loop), fronts_(std::move(fronts)), random_(static_cast<unsigned>(seed)) {
  std::size_t n = fronts_.size();
  if (n > mostFronts) throw std::runtime_error("the relay takes 64 fronts at most");
  faults_.assign(n * n, Fault{});
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t j = 0; j < n; ++j) {
      if (i == j) continue;
      auto f = std::make_unique<Face>();
      f->relay = this, f->from = i, f->to = j;
      int fd = loop_.ground().openDatagrams(face(i, j, port));
      if (fd < 0) throw std::runtime_error("the relay's face " + std::to_string(i) + " to " + std::to_string(j) +
                                           " cannot be had: errno " + std::to_string(-fd));
      f->fd = loop::Descriptor(loop_.ground(), fd);
      loop_.watch(fd, *f, POLLIN);
      faces_.push_back(std::move(f));
    }
}

Relay::~Relay() {
  for (auto& f : faces_) loop_.forget(f->fd.get());
}

void Relay::cutAround(const std::vector<std::size_t>& group, bool oneWayOut) {
  std::vector<bool> in(fronts_.size(), false);
  for (std::size_t i : group) in.at(i) = true;
  for (std::size_t a = 0; a < fronts_.size(); ++a)
    for (std::size_t b = 0; b < fronts_.size(); ++b)
      if ((in[a] && !in[b]) || (!oneWayOut && !in[a] && in[b])) link(a, b).cut = true;
}
void Relay::healAll() {
  for (Fault& f : faults_) f = Fault{};
}
void Relay::everywhere(const Fault& f) {
  for (Fault& one : faults_) one = f;
}

void Relay::pass(Face& face) {
  constexpr int mostATurn = 64;
  std::uniform_real_distribution<double> unit(0, 1);
  char buffer[2048];
  for (int i = 0; i < mostATurn; ++i) {
    loop::Address from{};
    ssize_t got = loop_.ground().receiveFrom(face.fd.get(), buffer, from);
    if (got < 0) return;
    const Fault& f = link(face.from, face.to);
    if (f.cut || unit(random_) < f.loss) {
      ++dropped_;
      continue;
    }
    int copies = 1 + (unit(random_) < f.duplicate);
    std::string bytes(buffer, static_cast<std::size_t>(got));
    for (int c = 0; c < copies; ++c) {
      double after = f.delay + f.jitter * unit(random_);
      ++passed_;
      if (after <= 0) {
        loop_.ground().sendTo(face.fd.get(), bytes, fronts_[face.to]);
        continue;
      }
      if (held_ >= mostHeld) {
        ++dropped_;
        continue;
      }
      ++held_;
      Face* through = &face;
      loop_.at(loop_.now() + after, [this, through, bytes] {
        --held_;
        loop_.ground().sendTo(through->fd.get(), bytes, fronts_[through->to]);
      });
    }
  }
}

}  // namespace dunlinwick::fleet
