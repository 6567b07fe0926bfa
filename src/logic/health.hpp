// Health: which machines may be asked, which are set aside for what failed there, and how they come back.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct Health : Part {
  const Load& load;
  int linesLeft = 150;

  void say(const char* what, const Machine& m) { linesLeft-- > 0 ? act(WriteLine{lineOf(what, m)}) : void(); }

  bool usable(const Machine& m) const {
    if (m.standing != Standing::ready) return false;
    if (!m.aside) return now >= m.fullUntil;
    // Coming back: a cache after probes; without probes, and as a source, by one trial leg at a time.
    return (f.may.probe ? m.answers >= 2 : now >= m.asideUntil) && !m.trialOut;
  }

  // Three legs overdue and none answered that was sent as late. Guards against what swallows legs without an
  // ending, and would hold fill places and clients. Harm: when all are slow, the first asked may be judged.
  bool silent(const Machine& m) const {
    constexpr int limit = 3;                      // more than chance, few enough to tell within a second
    constexpr Ms grace = second / 3;              // longer than the pauses of a busy machine
    if (now - m.lastGood <= grace) return false;  // none sent later can be overdue
    double crowd = std::max(1.0, load.linkLevel());
    auto overdue = [&](const Pull& p, const Leg& leg) {
      return leg.sentAt > m.lastGood && now - leg.sentAt > 3 * p.sending * crowd + grace;
    };
    return pulls.legsOut(&m, overdue) >= limit;
  }
  bool judge(Machine& m) { return !m.aside && silent(m) ? strike(m, strikesOut), false : usable(m); }

  // Guards against whatever makes a machine fail in a row: a crash the list has not told, a refused port, a
  // break. What fell with one connection is one sign. Harm: one that only ran out of them rests for a moment.
  static constexpr int strikesOut = 2;  // one failure may be chance, two in a row are not
  void strike(Machine& m, int by = 1) {
    constexpr Ms firstPause = second / 4, longestPause = 4 * second;  // short beside the list's own delay
    m.strikes += by, m.answers = 0, m.trialOut = false;
    if (m.aside ? now < m.asideUntil : m.strikes < strikesOut) return;
    m.pause = m.aside ? std::min(2 * m.pause, longestPause) : firstPause;
    if (!m.aside) say("set aside", m), act(TellHealth{m.cache, true});
    m.aside = true, m.asideUntil = now + m.pause;
    if (f.may.probe) act(WakeMe{m.asideUntil, wakeMachine << 56 | m.cache});
  }

  void absolve(Machine& m) {
    m.strikes = 0, m.mayBeNew &= m.aside;
    if (!m.aside || (f.may.probe && m.answers < 2)) return;  // with probes: back only after two answered
    m.answers = 0;
    // One that could not be reached may be a new process that the list has not told of: it is taken for cold.
    if (m.mayBeNew) m.slow_start_from = now;
    m.aside = m.trialOut = m.mayBeNew = false;
    say("is back", m), act(TellHealth{m.cache, false});
  }

  void answered(Machine& m, Ms sentAt) { m.lastGood = std::max(m.lastGood, sentAt), absolve(m); }

  void probed(const ProbeEnded& e) {
    Machine* m = load.roster.known(e.cache);
    if (!m || !m->aside) return;
    if (!e.answered) return m->mayBeNew = true, strike(*m);
    if (++m->answers < 2) return act(WakeMe{now + second / 10, wakeMachine << 56 | e.cache});
    if (m->isCache()) absolve(*m);
  }
  void wake(const WakeUp& e) {
    Machine* m = load.roster.known(static_cast<std::uint32_t>(e.handle));
    if (!m || !m->aside) return;
    m->standing == Standing::ready ? act(ProbeCache{m->cache}) : act(WakeMe{now + second, e.handle});
  }
};

}  // namespace dunlinwick::logic
