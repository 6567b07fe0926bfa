#include "drill/client_line.hpp"

#include <cstdio>

#include "drill/number.hpp"

namespace dunlinwick::drill {

using loop::Parting;
using rules::Deed;
using rules::Fact;

namespace {

std::string hex(std::uint64_t v) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(v));
  return text;
}

}  // namespace

void Clients::Line::ask(std::shared_ptr<Want> want) {
  want_ = std::move(want);
  const world::OfferingTerms& o = all_.model_.terms().offerings[static_cast<std::size_t>(want_->offering)];
  id_ = hex(all_.dice_());
  asked_ = answered_ = false;
  sentAt_ = all_.loop_.now();
  auto copy = all_.copies_.find(want_->thing + "/" + std::to_string(want_->part));
  char numbers[120];
  std::snprintf(numbers, sizeof numbers, "X-Timeout-Ms: %.0f\r\nX-Group: %d\r\nX-Memory-Kb: %.3f\r\n", want_->ttl,
                world::Model::group(want_->thing),
                o.neverKept ? 0.1 : all_.model_.sizeKb(want_->offering, want_->thing));
  std::string head = o.neverKept ? "PUT" : "GET";
  head += " /ops/" + o.name + "/" + want_->thing;
  if (!o.neverKept) head += "?part=" + std::to_string(want_->part);
  head += " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id_ + "\r\n" + numbers;
  if (copy != all_.copies_.end()) head += "If-None-Match: \"" + copy->second + "\"\r\n";
  if (o.neverKept) head += "Content-Length: " + std::to_string(want_->thing.size()) + "\r\n";
  head += "\r\n";
  if (o.neverKept) head += want_->thing;
  connection_.send(std::move(head));
  if (up_ && connection_.drainedOut()) written();
  else timer_ = all_.loop_.at(sentAt_ + want_->ttl, [this] { giveUp(); });
}

void Clients::Line::drained() {
  up_ = true;
  if (want_ && !asked_) written();
}

void Clients::Line::came() {
  while (!connection_.isOver() && readOne()) {
  }
}

void Clients::Line::ended(Parting how) {
  all_.loop_.cancel(timer_);
  connection_.close();
  auto self = shared_from_this();
  all_.loop_.bury(self);
  all_.lines_.erase(number_);
  if (!want_) return;
  auto want = std::exchange(want_, nullptr);
  Ms now = all_.loop_.now();
  auto at = static_cast<std::size_t>(front_);
  if (!asked_) {
    ++all_.takings_.refused;
    // A front that can't be reached is left alone once that has been noticed.
    if (how == Parting::refused || how == Parting::neverUp) {
      if (all_.failingSince_[at] == 0) all_.failingSince_[at] = now;
      if (now - all_.failingSince_[at] >= all_.terms_.notice) all_.avoidedUntil_[at] = now + 1000;
    }
    return all_.over(want, false, true, 0);
  }
  // It crossed a close of the front's: sent again, once. A reset may be the front's death under it, which
  // says nothing of whether it ran.
  bool rerunnable = all_.model_.terms().offerings[static_cast<std::size_t>(want->offering)].effect !=
                    world::Effect::exclusive;
  if (!heard_ && reused_ && now - sentAt_ < 50 && !want->hurried && (how == Parting::closed || rerunnable)) {
    tell(Deed::left);
    want->hurried = true;
    return all_.ask(want);
  }
  ++all_.takings_.unanswered;
  bool safe = all_.model_.terms().offerings[static_cast<std::size_t>(want->offering)].effect !=
              world::Effect::exclusive;
  all_.over(want, false, safe, 0);
}

void Clients::Line::shut() {
  connection_.close();
  all_.loop_.bury(shared_from_this());
  all_.lines_.erase(number_);
}

void Clients::Line::written() {
  asked_ = true;
  heard_ = false;
  Ms now = sentAt_ = all_.loop_.now();
  ++all_.takings_.tries;
  const world::OfferingTerms& o = all_.model_.terms().offerings[static_cast<std::size_t>(want_->offering)];
  Fact f;
  f.deed = Deed::asked, f.at = now, f.pull = id_, f.thing = want_->thing,
  f.who = all_.fronts_[static_cast<std::size_t>(front_)].name, f.offering = want_->offering,
  f.group = world::Model::group(want_->thing), f.number = want_->ttl;
  all_.tell_(std::move(f));
  if (o.effect == world::Effect::exclusive && all_.seen) all_.seen("handover asked");
  all_.loop_.cancel(timer_);
  // A little longer than it says, to see an answer that comes too late.
  constexpr Ms longer = 100;
  Ms until = now + want_->ttl + longer;
  bool leaves = world::between(all_.dice_, 0, 1) < all_.terms_.impatient;
  if (leaves) until = now + want_->ttl * world::between(all_.dice_, 0.02, 0.5);
  timer_ = all_.loop_.at(until, [this, leaves] {
    if (leaves && want_) {
      tell(Deed::left);
      ++all_.takings_.left;
    }
    giveUp();
  });
}

void Clients::Line::giveUp() {
  timer_ = 0;
  auto want = std::exchange(want_, nullptr);
  auto self = shared_from_this();
  shut();
  if (!want) return;
  if (asked_) ++all_.takings_.unanswered;
  else ++all_.takings_.refused;
  bool safe = all_.model_.terms().offerings[static_cast<std::size_t>(want->offering)].effect !=
              world::Effect::exclusive;
  all_.over(want, false, safe || !asked_, 0);
}

void Clients::Line::tell(Deed deed, int status, const std::string& tag, bool whole) {
  Fact f;
  f.deed = deed, f.at = all_.loop_.now(), f.pull = id_, f.who = all_.fronts_[static_cast<std::size_t>(front_)].name,
  f.status = status, f.tag = tag, f.flag = whole;
  all_.tell_(std::move(f));
}

bool Clients::Line::readOne() {
  std::string_view bytes = connection_.in.bytes();
  std::size_t end = bytes.find("\r\n\r\n");
  if (end == bytes.npos) return false;
  std::string_view head = bytes.substr(0, end + 2);
  auto header = [&](std::string_view name) -> std::string {
    std::string mark = "\r\n" + std::string(name) + ": ";
    std::size_t at = head.find(mark);
    if (at == head.npos) return {};
    at += mark.size();
    return std::string(head.substr(at, head.find("\r\n", at) - at));
  };
  int status = head.size() > 12 ? static_cast<int>(number(head.substr(9, 3))) : 0;
  auto length = static_cast<std::size_t>(number(header("Content-Length")));
  if (bytes.size() < end + 4 + length) return false;
  std::string_view body = bytes.substr(end + 4, length);
  std::string tag = header("ETag");
  if (tag.size() > 2) tag = tag.substr(1, tag.size() - 2);
  Ms retryAfter = number(header("Retry-After-Ms"));
  bool last = header("Connection") == "close";
  heard_ = true;
  usedAt_ = all_.loop_.now();
  if (!want_) {  // nothing is owed here: a second answer to the last
    tell(Deed::answered, status, tag);
    connection_.in.consume(end + 4 + length);
    return true;
  }
  auto want = std::exchange(want_, nullptr);
  all_.loop_.cancel(timer_);
  bool whole = status == 304 || (status == 200 && proper(tag, body, *want));
  tell(Deed::answered, status, tag, whole);
  connection_.in.consume(end + 4 + length);
  reused_ = true;
  all_.failingSince_[static_cast<std::size_t>(front_)] = 0;
  Takings& t = all_.takings_;
  bool finished = status == 200 || status == 304, declined = status == 503 || status == 429;
  t.finished += status == 200, t.unchanged += status == 304;
  t.declined += declined, t.abandoned += !finished && !declined;
  if (!finished && usedAt_ - sentAt_ > want->ttl / 2) ++t.lateFailures;
  if (finished && !tag.empty()) {
    if (all_.copies_.size() >= 500) all_.copies_.erase(all_.copies_.begin());
    all_.copies_[want->thing + "/" + std::to_string(want->part)] = tag;
  }
  bool safe = all_.model_.terms().offerings[static_cast<std::size_t>(want->offering)].effect !=
              world::Effect::exclusive;
  auto self = shared_from_this();
  if (last) shut();
  all_.over(want, finished, declined || (!finished && safe), retryAfter);
  return !last;
}

bool Clients::Line::proper(const std::string& tag, std::string_view body, const Want& want) const {
  bool write = all_.model_.terms().offerings[static_cast<std::size_t>(want.offering)].neverKept;
  double kb = write ? 0.1 : all_.model_.sizeKb(want.offering, want.thing);
  return !tag.empty() && body == bodyOf(tag, kb, all_.terms_.bytesPerKb);
}

}  // namespace dunlinwick::drill
