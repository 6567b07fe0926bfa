#include "board/board.hpp"

#include <algorithm>
#include <charconv>

#include "log/log.hpp"

namespace dunlinwick::discovery {

using loop::DisconnectReason;
using loop::Ms;

constexpr std::size_t kMaxLineBytes =
    1 << 20;  // including the line break: a full list of several thousand endpoints
constexpr Ms kSilenceLimit = 1600;    // without a line, after the first one; one is due each second
constexpr Ms kFirstLineLimit = 2500;  // the service answers or refuses a call within 2 s, after the
                                      // time to connect
constexpr Ms kMaxFirstLineLimit = 7000;  // by then an event counts as announced to everyone
constexpr Ms kFirstBackoff = 20,
             kMaxBackoff = 500;  // short, since events take effect even if they are not received;
                                 // long enough not to overload a failing discovery service

DiscoveryClient::DiscoveryClient(loop::Loop& loop, exchange::Exchange& exchange,
                                 const settings::ConnectionSettings& terms,
                                 const loop::Address& address)
    : loop_(loop),
      exchange_(exchange),
      terms_(terms),
      address_(address),
      silence_limit_(kFirstLineLimit) {}

DiscoveryClient::~DiscoveryClient() {
  loop_.Cancel(timer_);
}

// Returns all events or none: a partly read list would be taken for the full one.
std::optional<std::vector<WatchEvent>> DiscoveryClient::ReadInitialEvents(
    const json::Value& initial_events, std::uint64_t& last_revision) const {
  const json::Value* watch_events = initial_events.Find("notices", json::Kind::kArray);
  auto revision = initial_events.GetNumber("rev");
  if (!watch_events || !revision || !(*revision >= 0 && *revision < 1e15))
    return std::nullopt;
  last_revision = static_cast<std::uint64_t>(*revision);
  std::vector<WatchEvent> events;
  for (const json::Value& item : watch_events->items) {
    auto event = ReadWatchEvent(item, terms_);
    // An event beyond the last revision would be delivered here, and again when the discovery
    // service sends it: an old state would replace a newer one.
    if (!event || event->revision > last_revision)
      return std::nullopt;
    events.push_back(std::move(*event));
  }
  return events;
}

bool DiscoveryClient::ApplyInitialEvents(const json::Value& initial_events) {
  std::uint64_t last_revision = 0;
  auto events = ReadInitialEvents(initial_events, last_revision);
  if (!events)
    return false;
  for (const WatchEvent& event : *events)
    Deliver(event, std::nullopt);
  last_revision_ = last_revision;
  up_to_date_at_ = loop_.now();
  return true;
}

bool DiscoveryClient::SwitchTo(const loop::Address& address, const json::Value& initial_events) {
  std::uint64_t last_revision = 0;
  auto events = ReadInitialEvents(initial_events, last_revision);
  if (!events)
    return false;
  address_ = address;
  if (connection_) {
    connection_->Close();
    loop_.DeferDelete(std::move(connection_));
    connection_ = nullptr;
  }
  for (const WatchEvent& event : *events)
    if (event.revision == last_revision_ + 1) {
      last_revision_ = event.revision;
      Deliver(event, up_to_date_at_);
    }
  backoff_ = 0;
  silence_limit_ = kFirstLineLimit;
  if (watching_)
    StartWatch();
  return true;
}

void DiscoveryClient::StartWatch() {
  watching_ = true;
  connected_at_ = loop_.now();
  has_received_line_ = false;
  silence_limit_ = std::max(silence_limit_, kFirstLineLimit);
  ++exchange_.counters.discovery_connections;
  connection_ = std::make_shared<loop::Connection>(loop_, *this, address_, terms_.connect_timeout);
  connection_->SetReadLimit(kMaxLineBytes);
  connection_->Send("watch " + std::to_string(last_revision_) + "\n");
  RestartSilenceTimer();
}

// The service sends a line every second once it has answered the watch. After `silence_limit_`
// without one the client reconnects: a line that was only late costs one connection, and events
// take effect whether they were received or not.
void DiscoveryClient::RestartSilenceTimer() {
  loop_.Cancel(timer_);
  timer_ = loop_.RunAt(loop_.now() + silence_limit_, [this] { HandleSilence(); });
}

// A watch that has not been answered, or whose line was partly received, may only be slow: the next
// connection gets twice the time. With the same limit again each answer of a service that is slower
// than that limit would be cut off, on every connection.
void DiscoveryClient::HandleSilence() {
  if (!connection_)
    return;
  exchange_.counters.unanswered_watches += !has_received_line_;
  const bool may_be_slow = !has_received_line_ || connection_->in.size() > 0;
  if (may_be_slow)
    silence_limit_ = std::min(2 * silence_limit_, kMaxFirstLineLimit);
  connection_->Disconnect(DisconnectReason::kReceiveTimeout);
}

void DiscoveryClient::OnBytesReceived() {
  for (;;) {
    std::string_view bytes = connection_->in.bytes();
    std::size_t end = bytes.find('\n');
    // Checked whether or not the line's end has arrived, so that the result does not depend on how
    // the bytes were split.
    if (std::min(end, bytes.size()) >= kMaxLineBytes)
      return connection_->Disconnect(DisconnectReason::kMalformed);
    if (end == bytes.npos)
      return;
    std::string line(bytes.substr(0, end));
    connection_->in.Consume(end + 1);
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!HandleLine(line))
      return connection_->Disconnect(DisconnectReason::kMalformed);
    has_received_line_ = true;
    // The silence timer restarts on complete lines only. If any byte restarted it, a line that
    // arrives byte by byte would keep a stuck watch alive indefinitely.
    silence_limit_ = kSilenceLimit;
    RestartSilenceTimer();
    // One line does not prove the connection stable: a service that closes each connection after
    // one line would be contacted 50 times a second.
    if (loop_.now() - connected_at_ > kMaxBackoff)
      backoff_ = 0;
  }
}

bool DiscoveryClient::HandleLine(std::string_view line) {
  std::uint64_t revision = 0;
  auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), revision);
  // A heartbeat with the revision of the last event: if it is beyond ours, an event was missed, and
  // reconnecting fetches it.
  if (error == std::errc{} && end == line.data() + line.size()) {
    if (revision == last_revision_)
      up_to_date_at_ = loop_.now();
    return revision <= last_revision_;
  }
  auto value = json::Parse(line);
  auto event = value ? ReadWatchEvent(*value, terms_) : std::nullopt;
  if (!event)
    return false;
  if (event->revision <= last_revision_)
    return true;  // a duplicate
  if (event->revision > last_revision_ + 1)
    return false;
  last_revision_ = event->revision;
  backoff_ = 0;
  Deliver(*event, up_to_date_at_);
  return true;
}

void DiscoveryClient::Deliver(const WatchEvent& event, std::optional<Ms> up_to_date_at) {
  if (event.has_list)
    exchange_.OnListUpdate(event.is_full_list, event.entries, up_to_date_at);
  if (event.has_purge)
    exchange_.OnPurge(event.whole_group, event.object, event.group, event.purged_at, up_to_date_at);
}

void DiscoveryClient::OnDisconnected(DisconnectReason reason) {
  if (reason == DisconnectReason::kMalformed)
    ++exchange_.counters.bad_watch_events;
  if (backoff_ == 0)  // the first of consecutive failures
    log::Write("discovery service: connection ended (%s) after event %llu", loop::ToString(reason),
               static_cast<unsigned long long>(last_revision_));
  loop_.DeferDelete(std::move(connection_));
  connection_ = nullptr;
  loop_.Cancel(timer_);
  backoff_ = std::clamp(2 * backoff_, kFirstBackoff, kMaxBackoff);
  timer_ = loop_.RunAt(loop_.now() + backoff_, [this] { StartWatch(); });
}

}  // namespace dunlinwick::discovery
