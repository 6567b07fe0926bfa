#include "front/recovery.hpp"

#include <cstdio>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
const char* ToString(recovery::StoreSeen::State s) {
  static const char* const kWords[] = {"none",    "empty", "good",  "holed",
                                       "foreign", "older", "spoilt"};
  return kWords[static_cast<int>(s)];
}
}  // namespace

Recovering::Recovering(loop::Loop& loop, const RecoveryTerms& terms, peers::Id self,
                       std::vector<peers::Id> fronts, const recovery::StoreSeen& store,
                       std::uint64_t incarnation, Ways ways)
    : loop_(loop), ways_(std::move(ways)) {
  recovery_ = std::make_unique<recovery::Recovery>(
      self, std::move(fronts), terms.terms, static_cast<std::uint64_t>(loop.now()), loop.now());
  log::Write("recovery store %s token %llu offset %llu incarnation %llu at %.0f",
             ToString(store.state), static_cast<unsigned long long>(store.floors.token),
             static_cast<unsigned long long>(store.floors.offset),
             static_cast<unsigned long long>(store.floors.incarnation), loop.now());
  Does(recovery_->Handle(loop.now(), recovery::Said{incarnation}));
  Does(recovery_->Handle(loop.now(), recovery::StoreChecked{store}));
  Does(recovery_->Handle(loop.now(), recovery::Tick{}));
}

void Recovering::Does(const std::vector<recovery::Action>& actions) {
  for (const recovery::Action& a : actions) {
    if (auto* say = std::get_if<recovery::Say>(&a)) {
      recovery::Hello hello = say->hello;
      hello.of_you = ways_.seen(say->to);
      ways_.send(say->to, recovery::Encode(hello));
    } else if (auto* in = std::get_if<recovery::Entered>(&a)) {
      log::Write("recovery phase %s %s: %s at %.0f", recovery::ToString(in->phase),
                 in->by_time ? "by time" : "by condition", in->why.c_str(), loop_.now());
    } else if (auto* admit = std::get_if<recovery::Admit>(&a)) {
      // One line a second at most while shares grow; each change of what is served is said.
      if (admit->certain_only != certain_only_ || admit->by_request_class.empty() ||
          loop_.now() - said_admit_ >= 1000) {
        std::string shares;
        for (double s : admit->by_request_class) {
          char text[32];
          std::snprintf(text, sizeof text, "%s%.3f", shares.empty() ? "" : ",", s);
          shares += text;
        }
        log::Write("recovery lets in %s%s at %.0f", shares.empty() ? "all" : shares.c_str(),
                   admit->certain_only ? " certain only" : "", loop_.now());
        said_admit_ = loop_.now();
      }
      certain_only_ = admit->certain_only;
      ways_.admit(admit->by_request_class, admit->come_back);
    } else if (auto* loss = std::get_if<recovery::Loss>(&a)) {
      log::Write("recovery loss %s back %d kept %d: %s at %.0f", loss->whole ? "whole" : "part",
                 loss->back, loss->kept,
                 loss->lost.empty() ? "nothing was lost" : loss->lost.c_str(), loop_.now());
    } else if (auto* corrupted = std::get_if<recovery::Corrupted>(&a)) {
      log::Write("recovery spoilt %u: %s at %.0f", corrupted->whose, corrupted->why.c_str(),
                 loop_.now());
    }
  }
}

void Recovering::Heard(peers::Id from, std::span<const char> message) {
  auto h = recovery::Decode(message);
  if (!h)
    return;
  ways_.heard(from, h->floors.incarnation);
  Does(recovery_->Handle(loop_.now(), recovery::Heard{from, *h}));
}

void Recovering::Wake() {
  Now n = ways_.now();
  for (const recovery::Event& e :
       {recovery::Event(n.group), recovery::Event(n.record), recovery::Event(n.rules),
        recovery::Event(recovery::Behind{n.crowded, std::nullopt}),
        recovery::Event(recovery::Tick{})})
    Does(recovery_->Handle(loop_.now(), e));
  // What the other parts say is looked at this often; never twice in one turn of the loop.
  constexpr Ms kLongest = 100, kLeast = 10;
  wake_at_ = std::max(loop_.now() + kLeast, std::min(recovery_->WakeAt(), loop_.now() + kLongest));
}

Ms Recovering::WakeAt() const {
  return wake_at_;
}
bool Recovering::MayOwn() const {
  return recovery_->MayOwn(loop_.now());
}
recovery::Phase Recovering::phase() const {
  return recovery_->phase();
}
recovery::Floors Recovering::floors() const {
  return recovery_->floors();
}

std::string Recovering::view() const {
  recovery::Floors f = recovery_->floors();
  char carries[32];
  std::snprintf(carries, sizeof carries, "%.3f", recovery_->Carries());
  return "{\"phase\":\"" + std::string(recovery::ToString(recovery_->phase())) +
         "\",\"since_ms\":" +
         std::to_string(static_cast<long long>(loop_.now() - recovery_->Since())) +
         ",\"carries\":" + carries + ",\"certain_only\":" + (certain_only_ ? "true" : "false") +
         ",\"may_own\":" + (MayOwn() ? "true" : "false") +
         ",\"token_floor\":" + std::to_string(f.token) +
         ",\"offset_floor\":" + std::to_string(f.offset) + "}";
}

}  // namespace dunlinwick::front
