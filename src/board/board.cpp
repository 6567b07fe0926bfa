#include "board/board.hpp"

#include <algorithm>
#include <charconv>

#include "log/log.hpp"

namespace dunlinwick::discovery {

using loop::DisconnectReason;
using loop::Ms;

constexpr std::size_t kLongest =
    1 << 20;                   // of a line with its end: a whole list of some thousand machines
constexpr Ms kSilence = 1600;  // without a line
constexpr Ms kFirstPause = 20,
             kLongestPause =
                 500;  // soon, since news binds untold; no busy knocking at a dead board

Discovery::Discovery(loop::Loop& loop, exchange::Exchange& exchange,
                     const settings::RoadTerms& terms, const loop::Address& at)
    : loop_(loop), exchange_(exchange), terms_(terms), at_(at), silence_(kSilence) {}

Discovery::~Discovery() {
  loop_.Cancel(timer_);
}

// All of them or none: a list read in half would pass for the whole.
std::optional<std::vector<Notice>> Discovery::ReadKnown(const json::Value& known,
                                                        std::uint64_t& last) const {
  const json::Value* watch_events = known.Find("notices", json::Kind::kList);
  auto rev = known.number("rev");
  if (!watch_events || !rev || !(*rev >= 0 && *rev < 1e15))
    return std::nullopt;
  last = static_cast<std::uint64_t>(*rev);
  std::vector<Notice> all;
  for (const json::Value& one : watch_events->items) {
    auto notice = ReadNotice(one, terms_);
    // One beyond the last would be passed on here and told once more by the board: an old state
    // would stand again.
    if (!notice || notice->rev > last)
      return std::nullopt;
    all.push_back(std::move(*notice));
  }
  return all;
}

bool Discovery::begin(const json::Value& known) {
  std::uint64_t last = 0;
  auto all = ReadKnown(known, last);
  if (!all)
    return false;
  for (const Notice& notice : *all)
    Pass(notice, std::nullopt);
  last_ = last;
  up_to_date_at_ = loop_.now();
  return true;
}

bool Discovery::MoveTo(const loop::Address& at, const json::Value& known) {
  std::uint64_t last = 0;
  auto all = ReadKnown(known, last);
  if (!all)
    return false;
  at_ = at;
  if (connection_) {
    connection_->Close();
    loop_.DeferDelete(std::move(connection_));
    connection_ = nullptr;
  }
  for (const Notice& notice : *all)
    if (notice.rev == last_ + 1) {
      last_ = notice.rev;
      Pass(notice, up_to_date_at_);
    }
  pause_ = 0;
  silence_ = kSilence;
  if (following_)
    Follow();
  return true;
}

void Discovery::Follow() {
  following_ = true;
  asked_at_ = loop_.now();
  ++exchange_.counters.discovery_connections;
  connection_ = std::make_shared<loop::Connection>(loop_, *this, at_, terms_.connect_within);
  connection_->SetReadLimit(kLongest);
  connection_->Send("watch " + std::to_string(last_) + "\n");
  Heard();
}

// A line comes every second. After one and a half with none it is asked anew: it costs one
// connection if it was only late, and what is told there binds whether it arrived or not.
void Discovery::Heard() {
  loop_.Cancel(timer_);
  timer_ = loop_.RunAt(loop_.now() + silence_, [this] { WasSilent(); });
}

// Where a line was under way, the next connection has twice as long for it, so that a long list on
// a slow way comes through; never longer than it takes until all counts as told. Harm without: it
// is cut short each time, for ever.
void Discovery::WasSilent() {
  constexpr Ms kNotified = 7000;
  if (!connection_)
    return;
  silence_ = connection_->in.size() > 0 ? std::min(2 * silence_, kNotified) : kSilence;
  connection_->Disconnect(DisconnectReason::kReceiveTimeout);
}

void Discovery::OnBytesReceived() {
  for (;;) {
    std::string_view bytes = connection_->in.bytes();
    std::size_t end = bytes.find('\n');
    // Whether its end has come or not: else it would hang on how the bytes were cut.
    if (std::min(end, bytes.size()) >= kLongest)
      return connection_->Disconnect(DisconnectReason::kMalformed);
    if (end == bytes.npos)
      return;
    std::string line(bytes.substr(0, end));
    connection_->in.Consume(end + 1);
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!TakeLine(line))
      return connection_->Disconnect(DisconnectReason::kMalformed);
    // Silence counts from a whole line. Counted from any byte, half a line that drips in keeps a
    // dead watch for ever.
    silence_ = kSilence;
    Heard();
    // A line alone is no sign that it stands: a board that ends each connection after one would be
    // asked 50 times a second.
    if (loop_.now() - asked_at_ > kLongestPause)
      pause_ = 0;
  }
}

bool Discovery::TakeLine(std::string_view line) {
  std::uint64_t number = 0;
  auto [end, fault] = std::from_chars(line.data(), line.data() + line.size(), number);
  // The number of the last event: where it is beyond ours, something was missed, and asking anew
  // brings it.
  if (fault == std::errc{} && end == line.data() + line.size()) {
    if (number == last_)
      up_to_date_at_ = loop_.now();
    return number <= last_;
  }
  auto value = json::Read(line);
  auto notice = value ? ReadNotice(*value, terms_) : std::nullopt;
  if (!notice)
    return false;
  if (notice->rev <= last_)
    return true;  // told before
  if (notice->rev > last_ + 1)
    return false;
  last_ = notice->rev;
  pause_ = 0;
  Pass(*notice, up_to_date_at_);
  return true;
}

void Discovery::Pass(const Notice& n, std::optional<Ms> up_to_date_at) {
  if (n.list)
    exchange_.ListCame(n.whole, n.entries, up_to_date_at);
  if (n.purge)
    exchange_.PurgeCame(n.whole_group, n.object, n.group, n.at, up_to_date_at);
}

void Discovery::OnDisconnected(DisconnectReason how) {
  if (how == DisconnectReason::kMalformed)
    ++exchange_.counters.bad_watch_events;
  if (pause_ == 0)  // the first in a row
    log::Say("notice board: connection %s after event %llu", loop::ToString(how),
             static_cast<unsigned long long>(last_));
  loop_.DeferDelete(std::move(connection_));
  connection_ = nullptr;
  loop_.Cancel(timer_);
  pause_ = std::clamp(2 * pause_, kFirstPause, kLongestPause);
  timer_ = loop_.RunAt(loop_.now() + pause_, [this] { Follow(); });
}

}  // namespace dunlinwick::discovery
