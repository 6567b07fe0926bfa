// Health: which servers may be asked, which are ejected for what failed there, and how they return.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct Health : Part {
  const Load& load;
  int lines_left = 150;

  void Say(const char* what, const Machine& m) {
    lines_left-- > 0 ? Act(WriteLine{LineOf(what, m)}) : void();
  }

  bool Usable(const Machine& m) const {
    if (m.standing != Standing::kReady)
      return false;
    if (!m.ejected)
      return now >= m.full_until;
    // Coming back: a cache after probes; without probes, and as a source, by one trial leg at a
    // time.
    return (f.may.probe ? m.answers >= 2 : now >= m.ejected_until) && !m.trial_out;
  }

  // Three legs overdue and none answered that was sent as late. Guards against what swallows legs
  // without an ending, and would hold fill places and clients. Harm: when all are slow, the first
  // asked may be judged.
  bool Silent(const Machine& m) const {
    constexpr int kLimit = 3;           // more than chance, few enough to tell within a second
    constexpr Ms kGrace = kSecond / 3;  // longer than the pauses of a busy machine
    if (now - m.last_good <= kGrace)
      return false;  // none sent later can be overdue
    double crowd = std::max(1.0, load.LinkLevel());
    auto overdue = [&](const Request& p, const Attempt& attempt) {
      return attempt.sent_at > m.last_good &&
             now - attempt.sent_at > 3 * p.sending * crowd + kGrace;
    };
    return requests.AttemptsOut(&m, overdue) >= kLimit;
  }
  bool Judge(Machine& m) {
    return !m.ejected && Silent(m) ? Strike(m, kStrikesOut), false : Usable(m);
  }

  // Guards against whatever makes a machine fail in a row: a crash the list has not told, a refused
  // port, a break. What fell with one connection is one sign. Harm: one that only ran out of them
  // rests for a moment.
  static constexpr int kStrikesOut = 2;  // one failure may be chance, two in a row are not
  void Strike(Machine& m, int by = 1) {
    constexpr Ms kFirstPause = kSecond / 4, kLongestPause = 4 * kSecond;
    m.strikes += by;
    m.answers = 0;
    m.trial_out = false;
    if (m.ejected ? now < m.ejected_until : m.strikes < kStrikesOut)
      return;
    m.pause = m.ejected ? std::min(2 * m.pause, kLongestPause) : kFirstPause;
    if (!m.ejected) {
      Say("set aside", m);
      Act(TellHealth{m.cache, true});
    }
    m.ejected = true;
    m.ejected_until = now + m.pause;
    if (f.may.probe)
      Act(WakeMe{m.ejected_until, kWakeMachine << 56 | m.cache});
  }

  void Absolve(Machine& m) {
    m.strikes = 0;
    m.may_be_new &= m.ejected;
    if (!m.ejected || (f.may.probe && m.answers < 2))
      return;  // with probes: back only after two answered
    m.answers = 0;
    // One that could not be reached may be a new process that the list has not told of: it is taken
    // for cold.
    if (m.may_be_new)
      m.slow_start_from = now;
    m.ejected = m.trial_out = m.may_be_new = false;
    Say("is back", m);
    Act(TellHealth{m.cache, false});
  }

  void Answered(Machine& m, Ms sent_at) {
    m.last_good = std::max(m.last_good, sent_at);
    Absolve(m);
  }

  void Probed(const ProbeEnded& e) {
    Machine* m = load.roster.Known(e.cache);
    if (!m || !m->ejected)
      return;
    if (!e.answered) {
      m->may_be_new = true;
      return Strike(*m);
    }
    if (++m->answers < 2)
      return Act(WakeMe{now + kSecond / 10, kWakeMachine << 56 | e.cache});
    if (m->IsCache())
      Absolve(*m);
  }
  void Wake(const WakeUp& e) {
    Machine* m = load.roster.Known(static_cast<std::uint32_t>(e.handle));
    if (!m || !m->ejected)
      return;
    m->standing == Standing::kReady ? Act(ProbeCache{m->cache})
                                    : Act(WakeMe{now + kSecond, e.handle});
  }
};

}  // namespace dunlinwick::logic
