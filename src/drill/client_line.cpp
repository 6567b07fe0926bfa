#include "drill/client_line.hpp"

#include <cstdio>

#include "drill/number.hpp"

namespace dunlinwick::drill {

using loop::DisconnectReason;
using rules::Observation;
using rules::ObservationKind;

namespace {

std::string Hex(std::uint64_t v) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(v));
  return text;
}

}  // namespace

void Clients::Line::Ask(std::shared_ptr<Want> want) {
  want_ = std::move(want);
  const world::RequestClassSettings& o =
      all_.model_.settings().request_classes[static_cast<std::size_t>(want_->request_class)];
  id_ = Hex(all_.random_engine_());
  asked_ = answered_ = false;
  sent_at_ = all_.loop_.now();
  auto copy = all_.copies_.find(want_->thing + "/" + std::to_string(want_->part));
  char numbers[120];
  std::snprintf(numbers, sizeof numbers,
                "X-Timeout-Ms: %.0f\r\nX-Group: %d\r\nX-Memory-Kb: %.3f\r\n", want_->ttl,
                world::Model::GroupOf(want_->thing),
                o.uncacheable ? 0.1 : all_.model_.SizeKb(want_->request_class, want_->thing));
  std::string head = o.uncacheable ? "PUT" : "GET";
  head += " /ops/" + o.name + "/" + want_->thing;
  if (!o.uncacheable)
    head += "?part=" + std::to_string(want_->part);
  head += " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id_ + "\r\n" + numbers;
  if (copy != all_.copies_.end())
    head += "If-None-Match: \"" + copy->second + "\"\r\n";
  if (o.uncacheable)
    head += "Content-Length: " + std::to_string(want_->thing.size()) + "\r\n";
  head += "\r\n";
  if (o.uncacheable)
    head += want_->thing;
  connection_.Send(std::move(head));
  if (up_ && connection_.IsSendQueueEmpty())
    Written();
  else
    timer_ = all_.loop_.RunAt(sent_at_ + want_->ttl, [this] { GiveUp(); });
}

void Clients::Line::OnDrained() {
  up_ = true;
  if (want_ && !asked_)
    Written();
}

void Clients::Line::OnBytesReceived() {
  while (!connection_.IsEnded() && ReadOne()) {
  }
}

void Clients::Line::OnDisconnected(DisconnectReason how) {
  all_.loop_.Cancel(timer_);
  connection_.Close();
  auto self = shared_from_this();
  all_.loop_.DeferDelete(self);
  all_.lines_.erase(number_);
  if (!want_)
    return;
  auto want = std::exchange(want_, nullptr);
  Ms now = all_.loop_.now();
  auto at = static_cast<std::size_t>(front_);
  if (!asked_) {
    ++all_.takings_.refused;
    // A front that can't be reached is left alone once that has been noticed.
    if (how == DisconnectReason::kRefused || how == DisconnectReason::kConnectFailed) {
      if (all_.failing_since_[at] == 0)
        all_.failing_since_[at] = now;
      if (now - all_.failing_since_[at] >= all_.terms_.notice)
        all_.avoided_until_[at] = now + 1000;
    }
    return all_.Over(want, false, true, 0);
  }
  // It crossed a close of the front's: sent again, once. A reset may be the front's death under it,
  // which says nothing of whether it ran.
  bool idempotent = all_.model_.settings()
                        .request_classes[static_cast<std::size_t>(want->request_class)]
                        .effect != world::Effect::kExclusive;
  if (!heard_ && reused_ && now - sent_at_ < 50 && !want->hurried &&
      (how == DisconnectReason::kClosed || idempotent)) {
    tell(ObservationKind::kClientDisconnected);
    want->hurried = true;
    return all_.Ask(want);
  }
  ++all_.takings_.unanswered;
  bool safe = all_.model_.settings()
                  .request_classes[static_cast<std::size_t>(want->request_class)]
                  .effect != world::Effect::kExclusive;
  all_.Over(want, false, safe, 0);
}

void Clients::Line::Shut() {
  connection_.Close();
  all_.loop_.DeferDelete(shared_from_this());
  all_.lines_.erase(number_);
}

void Clients::Line::Written() {
  asked_ = true;
  heard_ = false;
  Ms now = sent_at_ = all_.loop_.now();
  ++all_.takings_.tries;
  const world::RequestClassSettings& o =
      all_.model_.settings().request_classes[static_cast<std::size_t>(want_->request_class)];
  Observation f;
  f.kind = ObservationKind::kRequestSent;
  f.at = now;
  f.request = id_;
  f.object = want_->thing;
  f.actor = all_.fronts_[static_cast<std::size_t>(front_)].name;
  f.request_class = want_->request_class;
  f.group = world::Model::GroupOf(want_->thing);
  f.value = want_->ttl;
  all_.tell_(std::move(f));
  if (o.effect == world::Effect::kExclusive && all_.seen)
    all_.seen("handover asked");
  all_.loop_.Cancel(timer_);
  // A little longer than it says, to see an answer that comes too late.
  constexpr Ms kLonger = 100;
  Ms until = now + want_->ttl + kLonger;
  bool leaves = world::UniformBetween(all_.random_engine_, 0, 1) < all_.terms_.impatient;
  if (leaves)
    until = now + want_->ttl * world::UniformBetween(all_.random_engine_, 0.02, 0.5);
  timer_ = all_.loop_.RunAt(until, [this, leaves] {
    if (leaves && want_) {
      tell(ObservationKind::kClientDisconnected);
      ++all_.takings_.left;
    }
    GiveUp();
  });
}

void Clients::Line::GiveUp() {
  timer_ = 0;
  auto want = std::exchange(want_, nullptr);
  auto self = shared_from_this();
  Shut();
  if (!want)
    return;
  if (asked_)
    ++all_.takings_.unanswered;
  else
    ++all_.takings_.refused;
  bool safe = all_.model_.settings()
                  .request_classes[static_cast<std::size_t>(want->request_class)]
                  .effect != world::Effect::kExclusive;
  all_.Over(want, false, safe || !asked_, 0);
}

void Clients::Line::tell(ObservationKind deed, int status, const std::string& tag, bool whole) {
  Observation f;
  f.kind = deed;
  f.at = all_.loop_.now();
  f.request = id_;
  f.actor = all_.fronts_[static_cast<std::size_t>(front_)].name;
  f.status = status;
  f.tag = tag;
  f.flag = whole;
  all_.tell_(std::move(f));
}

bool Clients::Line::ReadOne() {
  std::string_view bytes = connection_.in.bytes();
  std::size_t end = bytes.find("\r\n\r\n");
  if (end == bytes.npos)
    return false;
  std::string_view head = bytes.substr(0, end + 2);
  auto header = [&](std::string_view name) -> std::string {
    std::string mark = "\r\n" + std::string(name) + ": ";
    std::size_t at = head.find(mark);
    if (at == head.npos)
      return {};
    at += mark.size();
    return std::string(head.substr(at, head.find("\r\n", at) - at));
  };
  int status = head.size() > 12 ? static_cast<int>(Number(head.substr(9, 3))) : 0;
  auto length = static_cast<std::size_t>(Number(header("Content-Length")));
  if (bytes.size() < end + 4 + length)
    return false;
  std::string_view body = bytes.substr(end + 4, length);
  std::string tag = header("ETag");
  if (tag.size() > 2)
    tag = tag.substr(1, tag.size() - 2);
  Ms retry_after = Number(header("Retry-After-Ms"));
  bool last = header("Connection") == "close";
  heard_ = true;
  used_at_ = all_.loop_.now();
  if (!want_) {  // nothing is owed here: a second answer to the last
    tell(ObservationKind::kResponseReceived, status, tag);
    connection_.in.Consume(end + 4 + length);
    return true;
  }
  auto want = std::exchange(want_, nullptr);
  all_.loop_.Cancel(timer_);
  bool whole = status == 304 || (status == 200 && Proper(tag, body, *want));
  tell(ObservationKind::kResponseReceived, status, tag, whole);
  connection_.in.Consume(end + 4 + length);
  reused_ = true;
  all_.failing_since_[static_cast<std::size_t>(front_)] = 0;
  Takings& t = all_.takings_;
  bool finished = status == 200 || status == 304, declined = status == 503 || status == 429;
  t.finished += status == 200;
  t.unchanged += status == 304;
  t.declined += declined;
  t.abandoned += !finished && !declined;
  if (!finished && used_at_ - sent_at_ > want->ttl / 2)
    ++t.late_failures;
  if (finished && !tag.empty()) {
    if (all_.copies_.size() >= 500)
      all_.copies_.erase(all_.copies_.begin());
    all_.copies_[want->thing + "/" + std::to_string(want->part)] = tag;
  }
  bool safe = all_.model_.settings()
                  .request_classes[static_cast<std::size_t>(want->request_class)]
                  .effect != world::Effect::kExclusive;
  auto self = shared_from_this();
  if (last)
    Shut();
  all_.Over(want, finished, declined || (!finished && safe), retry_after);
  return !last;
}

bool Clients::Line::Proper(const std::string& tag, std::string_view body, const Want& want) const {
  bool write = all_.model_.settings()
                   .request_classes[static_cast<std::size_t>(want.request_class)]
                   .uncacheable;
  double kb = write ? 0.1 : all_.model_.SizeKb(want.request_class, want.thing);
  return !tag.empty() && body == BodyOf(tag, kb, all_.terms_.bytes_per_kb);
}

}  // namespace dunlinwick::drill
