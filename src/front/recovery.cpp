#include "front/recovery.hpp"

#include <cstdio>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
const char* word(recovery::StoreSeen::State s) {
  static const char* const words[] = {"none", "empty", "good", "holed", "foreign", "older", "spoilt"};
  return words[static_cast<int>(s)];
}
}  // namespace

Recovering::Recovering(loop::Loop& loop, const RecoveryTerms& terms, peers::Id self, std::vector<peers::Id> fronts,
                       const recovery::StoreSeen& store, std::uint64_t incarnation, Ways ways)
    : loop_(loop), ways_(std::move(ways)) {
  recovery_ = std::make_unique<recovery::Recovery>(self, std::move(fronts), terms.terms, static_cast<std::uint64_t>(loop.now()), loop.now());
  log::say("recovery store %s token %llu offset %llu incarnation %llu at %.0f", word(store.state),
           static_cast<unsigned long long>(store.floors.token), static_cast<unsigned long long>(store.floors.offset),
           static_cast<unsigned long long>(store.floors.incarnation), loop.now());
  does(recovery_->handle(loop.now(), recovery::Said{incarnation}));
  does(recovery_->handle(loop.now(), recovery::StoreChecked{store}));
  does(recovery_->handle(loop.now(), recovery::Tick{}));
}

void Recovering::does(const std::vector<recovery::Action>& actions) {
  for (const recovery::Action& a : actions) {
    if (auto* say = std::get_if<recovery::Say>(&a)) {
      recovery::Hello hello = say->hello;
      hello.ofYou = ways_.seen(say->to);
      ways_.send(say->to, recovery::encode(hello));
    } else if (auto* in = std::get_if<recovery::Entered>(&a)) {
      log::say("recovery phase %s %s: %s at %.0f", recovery::word(in->phase), in->byTime ? "by time" : "by condition", in->why.c_str(), loop_.now());
    } else if (auto* admit = std::get_if<recovery::Admit>(&a)) {
      // One line a second at most while shares grow; each change of what is served is said.
      if (admit->certainOnly != certainOnly_ || admit->byOffering.empty() || loop_.now() - saidAdmit_ >= 1000) {
        std::string shares;
        for (double s : admit->byOffering) {
          char text[32];
          std::snprintf(text, sizeof text, "%s%.3f", shares.empty() ? "" : ",", s);
          shares += text;
        }
        log::say("recovery lets in %s%s at %.0f", shares.empty() ? "all" : shares.c_str(), admit->certainOnly ? " certain only" : "", loop_.now());
        saidAdmit_ = loop_.now();
      }
      certainOnly_ = admit->certainOnly;
      ways_.admit(admit->byOffering, admit->comeBack);
    } else if (auto* loss = std::get_if<recovery::Loss>(&a)) {
      log::say("recovery loss %s back %d kept %d: %s at %.0f", loss->whole ? "whole" : "part", loss->back, loss->kept,
               loss->lost.empty() ? "nothing was lost" : loss->lost.c_str(), loop_.now());
    } else if (auto* spoilt = std::get_if<recovery::Spoilt>(&a)) {
      log::say("recovery spoilt %u: %s at %.0f", spoilt->whose, spoilt->why.c_str(), loop_.now());
    }
  }
}

void Recovering::heard(peers::Id from, std::span<const char> message) {
  auto h = recovery::decode(message);
  if (!h) return;
  ways_.heard(from, h->floors.incarnation);
  does(recovery_->handle(loop_.now(), recovery::Heard{from, *h}));
}

void Recovering::wake() {
  Now n = ways_.now();
  for (const recovery::Event& e : {recovery::Event(n.group), recovery::Event(n.record), recovery::Event(n.rules),
                                   recovery::Event(recovery::Behind{n.crowded, std::nullopt}), recovery::Event(recovery::Tick{})})
    does(recovery_->handle(loop_.now(), e));
  // What the other parts say is looked at this often; never twice in one turn of the loop.
  constexpr Ms longest = 100, least = 10;
  wakeAt_ = std::max(loop_.now() + least, std::min(recovery_->wakeAt(), loop_.now() + longest));
}

Ms Recovering::wakeAt() const { return wakeAt_; }
bool Recovering::mayOwn() const { return recovery_->mayOwn(loop_.now()); }
recovery::Phase Recovering::phase() const { return recovery_->phase(); }
recovery::Floors Recovering::floors() const { return recovery_->floors(); }

std::string Recovering::view() const {
  recovery::Floors f = recovery_->floors();
  char carries[32];
  std::snprintf(carries, sizeof carries, "%.3f", recovery_->carries());
  return "{\"phase\":\"" + std::string(recovery::word(recovery_->phase())) + "\",\"since_ms\":" +
         std::to_string(static_cast<long long>(loop_.now() - recovery_->since())) + ",\"carries\":" + carries + ",\"certain_only\":" +
         (certainOnly_ ? "true" : "false") + ",\"may_own\":" + (mayOwn() ? "true" : "false") + ",\"token_floor\":" +
         std::to_string(f.token) + ",\"offset_floor\":" + std::to_string(f.offset) + "}";
}

}  // namespace dunlinwick::front
