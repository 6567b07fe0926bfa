#include "board/board.hpp"

#include <algorithm>
#include <charconv>

#include "log/log.hpp"

namespace dunlinwick::board {

using loop::Ms;
using loop::Parting;

constexpr std::size_t longest = 1 << 20;  // of a line with its end: a whole list of some thousand machines
constexpr Ms silence = 1600;              // without a line
constexpr Ms firstPause = 20, longestPause = 500;  // soon, since news binds untold; no busy knocking at a dead board

Board::Board(loop::Loop& loop, exchange::Exchange& exchange, const sheet::RoadTerms& terms,
             const loop::Address& at)
    : loop_(loop), exchange_(exchange), terms_(terms), at_(at), silence_(silence) {}

Board::~Board() { loop_.cancel(timer_); }

// All of them or none: a list read in half would pass for the whole.
std::optional<std::vector<Notice>> Board::readKnown(const json::Value& known, std::uint64_t& last) const {
  const json::Value* notices = known.find("notices", json::Kind::list);
  auto rev = known.number("rev");
  if (!notices || !rev || !(*rev >= 0 && *rev < 1e15)) return std::nullopt;
  last = static_cast<std::uint64_t>(*rev);
  std::vector<Notice> all;
  for (const json::Value& one : notices->items) {
    auto notice = readNotice(one, terms_);
    // One beyond the last would be passed on here and told once more by the board: an old state would stand again.
    if (!notice || notice->rev > last) return std::nullopt;
    all.push_back(std::move(*notice));
  }
  return all;
}

bool Board::begin(const json::Value& known) {
  std::uint64_t last = 0;
  auto all = readKnown(known, last);
  if (!all) return false;
  for (const Notice& notice : *all) pass(notice, std::nullopt);
  last_ = last;
  up_to_date_at_ = loop_.now();
  return true;
}

bool Board::moveTo(const loop::Address& at, const json::Value& known) {
  std::uint64_t last = 0;
  auto all = readKnown(known, last);
  if (!all) return false;
  at_ = at;
  if (connection_) {
    connection_->close();
    loop_.bury(std::move(connection_));
    connection_ = nullptr;
  }
  for (const Notice& notice : *all)
    if (notice.rev == last_ + 1) {
      last_ = notice.rev;
      pass(notice, up_to_date_at_);
    }
  pause_ = 0, silence_ = silence;
  if (following_) follow();
  return true;
}

void Board::follow() {
  following_ = true;
  askedAt_ = loop_.now();
  ++exchange_.counters.boardConnections;
  connection_ = std::make_shared<loop::Connection>(loop_, *this, at_, terms_.connectWithin);
  connection_->readUpTo(longest);
  connection_->send("watch " + std::to_string(last_) + "\n");
  heard();
}

// A line comes every second. After one and a half with none it is asked anew: it costs one connection if it
// was only late, and what is told there binds whether it arrived or not.
void Board::heard() {
  loop_.cancel(timer_);
  timer_ = loop_.at(loop_.now() + silence_, [this] { wasSilent(); });
}

// Where a line was under way, the next connection has twice as long for it, so that a long list on a slow way comes
// through; never longer than it takes until all counts as told. Harm without: it is cut short each time, for ever.
void Board::wasSilent() {
  constexpr Ms told = 7000;
  if (!connection_) return;
  silence_ = connection_->in.size() > 0 ? std::min(2 * silence_, told) : silence;
  connection_->endAs(Parting::silent);
}

void Board::came() {
  for (;;) {
    std::string_view bytes = connection_->in.bytes();
    std::size_t end = bytes.find('\n');
    // Whether its end has come or not: else it would hang on how the bytes were cut.
    if (std::min(end, bytes.size()) >= longest) return connection_->endAs(Parting::malformed);
    if (end == bytes.npos) return;
    std::string line(bytes.substr(0, end));
    connection_->in.consume(end + 1);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (!takeLine(line)) return connection_->endAs(Parting::malformed);
    // Silence counts from a whole line. Counted from any byte, half a line that drips in keeps a dead watch for ever.
    silence_ = silence;
    heard();
    // A line alone is no sign that it stands: a board that ends each connection after one would be asked 50 times a second.
    if (loop_.now() - askedAt_ > longestPause) pause_ = 0;
  }
}

bool Board::takeLine(std::string_view line) {
  std::uint64_t number = 0;
  auto [end, fault] = std::from_chars(line.data(), line.data() + line.size(), number);
  // The number of the last event: where it is beyond ours, something was missed, and asking anew brings it.
  if (fault == std::errc{} && end == line.data() + line.size()) {
    if (number == last_) up_to_date_at_ = loop_.now();
    return number <= last_;
  }
  auto value = json::read(line);
  auto notice = value ? readNotice(*value, terms_) : std::nullopt;
  if (!notice) return false;
  if (notice->rev <= last_) return true;  // told before
  if (notice->rev > last_ + 1) return false;
  last_ = notice->rev;
  pause_ = 0;
  pass(*notice, up_to_date_at_);
  return true;
}

void Board::pass(const Notice& n, std::optional<Ms> up_to_date_at) {
  if (n.list) exchange_.listCame(n.whole, n.entries, up_to_date_at);
  if (n.purge) exchange_.purgeCame(n.wholeGroup, n.object, n.group, n.at, up_to_date_at);
}

void Board::ended(Parting how) {
  if (how == Parting::malformed) ++exchange_.counters.badNotices;
  if (pause_ == 0)  // the first in a row
    log::say("notice board: connection %s after event %llu", loop::word(how),
             static_cast<unsigned long long>(last_));
  loop_.bury(std::move(connection_));
  connection_ = nullptr;
  loop_.cancel(timer_);
  pause_ = std::clamp(2 * pause_, firstPause, longestPause);
  timer_ = loop_.at(loop_.now() + pause_, [this] { follow(); });
}

}  // namespace dunlinwick::board
