// The notice board: numbered events, and who watches.
#include "drill/cast.hpp"
#include "drill/number.hpp"

namespace dunlinwick::drill {

using loop::Parting;

class BoardSpeaker::Watcher final : public loop::Connection::Owner, public std::enable_shared_from_this<Watcher> {
 public:
  Watcher(BoardSpeaker& all, std::uint64_t number, loop::Descriptor fd)
      : all_(all), number_(number), connection_(all.loop_, *this, std::move(fd)) {}
  void came() override {
    std::string_view bytes = connection_.in.bytes();
    std::size_t end = bytes.find('\n');
    if (end == bytes.npos) return;
    if (bytes.starts_with("watch ")) next_ = static_cast<std::uint64_t>(number(bytes.substr(6, end - 6))) + 1;
    connection_.in.consume(end + 1);
    tellAll();
  }
  void ended(Parting) override {
    connection_.close();
    all_.loop_.bury(shared_from_this());
    all_.watchers_.erase(number_);
  }
  void tellAll() {
    if (next_ == 0 || connection_.isOver() || all_.loop_.now() < all_.silentUntil_) return;
    for (; next_ <= all_.last(); ++next_) {
      if (next_ < all_.first_) continue;
      std::size_t at = static_cast<std::size_t>(next_ - all_.first_);
      connection_.send("{\"rev\":" + std::to_string(next_) + "," + all_.events_[at].substr(1) + "\n");
      all_.told_(next_);
    }
  }
  void sayNumber() {
    if (next_ == 0 || connection_.isOver() || all_.loop_.now() < all_.silentUntil_) return;
    tellAll();
    connection_.send(std::to_string(all_.last()) + "\n");
  }
  void breakOff() {
    connection_.send("{\"rev\":" + std::to_string(all_.last() + 1) + ",\"pool\":{\"serv");
    connection_.sayNoMore();
    next_ = 0;
  }

 private:
  BoardSpeaker& all_;
  std::uint64_t number_, next_ = 0;
  loop::Connection connection_;
};

BoardSpeaker::BoardSpeaker(loop::Loop& loop, const Address& at, std::uint64_t first, Told told)
    : loop_(loop),
      told_(std::move(told)),
      first_(first),
      listener_(loop, at, [this](loop::Descriptor fd) {
        std::uint64_t number = ++last_;
        watchers_[number] = std::make_shared<Watcher>(*this, number, std::move(fd));
      }) {
  sayNumber();
}

BoardSpeaker::~BoardSpeaker() { loop_.cancel(timer_); }

void BoardSpeaker::sayNumber() {
  auto all = watchers_;
  for (auto& [number, watcher] : all) watcher->sayNumber();
  timer_ = loop_.at(loop_.now() + 1000, [this] { sayNumber(); });
}

std::uint64_t BoardSpeaker::publish(std::string json) {
  events_.push_back(std::move(json));
  auto all = watchers_;
  for (auto& [number, watcher] : all) watcher->tellAll();
  return last();
}

void BoardSpeaker::breakOff() {
  auto all = watchers_;
  for (auto& [number, watcher] : all) watcher->breakOff();
}

void BoardSpeaker::stopUntil(Ms when) { silentUntil_ = when; }

}  // namespace dunlinwick::drill
