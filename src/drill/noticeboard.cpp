// The notice board: numbered events, and who watches.
#include "drill/cast.hpp"
#include "drill/number.hpp"

namespace dunlinwick::drill {

using loop::DisconnectReason;

class DiscoverySpeaker::Watcher final : public loop::Connection::Owner,
                                        public std::enable_shared_from_this<Watcher> {
 public:
  Watcher(DiscoverySpeaker& all, std::uint64_t number, loop::Descriptor fd)
      : all_(all), number_(number), connection_(all.loop_, *this, std::move(fd)) {}
  void OnBytesReceived() override {
    std::string_view bytes = connection_.in.bytes();
    std::size_t end = bytes.find('\n');
    if (end == bytes.npos)
      return;
    if (bytes.starts_with("watch "))
      next_ = static_cast<std::uint64_t>(Number(bytes.substr(6, end - 6))) + 1;
    connection_.in.Consume(end + 1);
    TellAll();
  }
  void OnDisconnected(DisconnectReason) override {
    connection_.Close();
    all_.loop_.DeferDelete(shared_from_this());
    all_.watchers_.erase(number_);
  }
  void TellAll() {
    if (next_ == 0 || connection_.IsEnded() || all_.loop_.now() < all_.silent_until_)
      return;
    for (; next_ <= all_.Last(); ++next_) {
      if (next_ < all_.first_)
        continue;
      std::size_t at = static_cast<std::size_t>(next_ - all_.first_);
      connection_.Send("{\"rev\":" + std::to_string(next_) + "," + all_.events_[at].substr(1) +
                       "\n");
      all_.notified_(next_);
    }
  }
  void SayNumber() {
    if (next_ == 0 || connection_.IsEnded() || all_.loop_.now() < all_.silent_until_)
      return;
    TellAll();
    connection_.Send(std::to_string(all_.Last()) + "\n");
  }
  void BreakOff() {
    connection_.Send("{\"rev\":" + std::to_string(all_.Last() + 1) + ",\"pool\":{\"serv");
    connection_.ShutdownWrite();
    next_ = 0;
  }

 private:
  DiscoverySpeaker& all_;
  std::uint64_t number_;
  std::uint64_t next_ = 0;
  loop::Connection connection_;
};

DiscoverySpeaker::DiscoverySpeaker(loop::Loop& loop, const Address& at, std::uint64_t first,
                                   Notified notified)
    : loop_(loop),
      notified_(std::move(notified)),
      first_(first),
      listener_(loop, at, [this](loop::Descriptor fd) {
        std::uint64_t number = ++last_;
        watchers_[number] = std::make_shared<Watcher>(*this, number, std::move(fd));
      }) {
  SayNumber();
}

DiscoverySpeaker::~DiscoverySpeaker() {
  loop_.Cancel(timer_);
}

void DiscoverySpeaker::SayNumber() {
  auto all = watchers_;
  for (auto& [number, watcher] : all)
    watcher->SayNumber();
  timer_ = loop_.RunAt(loop_.now() + 1000, [this] { SayNumber(); });
}

std::uint64_t DiscoverySpeaker::Publish(std::string json) {
  events_.push_back(std::move(json));
  auto all = watchers_;
  for (auto& [number, watcher] : all)
    watcher->TellAll();
  return Last();
}

void DiscoverySpeaker::BreakOff() {
  auto all = watchers_;
  for (auto& [number, watcher] : all)
    watcher->BreakOff();
}

void DiscoverySpeaker::StopUntil(Ms when) {
  silent_until_ = when;
}

}  // namespace dunlinwick::drill
