// Where the clients' side and the caches' side meet: the pulls and legs in flight, and the decisions. Neither
// side knows the other; both know what is declared here.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "exchange/counters.hpp"
#include "logic.hpp"
#include "loop/connection.hpp"

namespace dunlinwick::exchange {

constexpr std::size_t mostBytes = 240000, mostWritten = 48000;  // of an object; of what a client writes

// A pull as its client worded it. Id, names, tag and body go on as they are.
struct Ask {
  std::string id, offering, object, part, tag, body;
  std::string key;  // by which repeats are known, where its client names one
  int offeringAt = 0, partNumber = 0, group = 0;
  Ms ttl = 0;
  double sizeKb = 0;
};

// The client side's end of a pull: it is told one final answer at most.
class Asker {
 public:
  virtual void finished(const std::string& tag, std::string body) = 0;
  virtual void unchanged(const std::string& tag) = 0;
  virtual void declined(Ms retryAfter) = 0;
  virtual void abandoned() = 0;
  // Of a streamed answer, in place of finished(): how long it is, its bytes, and that it is whole or broke.
  virtual void begun(const std::string& tag, std::size_t length) = 0;
  virtual void more(std::string_view bytes) = 0;
  virtual void completed() = 0;
  virtual void brokeOff() = 0;

 protected:
  ~Asker() = default;
};

struct LegKey {
  std::uint32_t pull = 0;
  int leg = 0;
};

// What a cache said to a leg, without the bytes.
struct Word {
  Ending ending = Ending::finished;
  bool unchanged = false;  // the client's copy is the one
  Remark remark = Remark::none;
  Ms waited = 0;
  std::string tag;
  bool dated = false;  // it says when the origin gave out its copy
  std::vector<float> report;
};

// The caches' side as the exchange sees it. What it has to say of a leg may come from within send().
class CacheSide {
 public:
  // Returns the connection's number, 0 if it has none. `avoid`: connections on which an earlier answer to
  // this pull may still come.
  virtual std::uint64_t send(LegKey key, const Ask& ask, const SendLeg& how,
                             const std::vector<std::uint64_t>& avoid) = 0;
  virtual void giveUp(LegKey key, const Ask& ask, std::uint32_t cache) = 0;
  // Takes back an attempt of which not a byte has left this process. False: it may have left, and stays.
  virtual bool takeBack(LegKey key, const Ask& ask, std::uint32_t cache) = 0;
  virtual void probe(std::uint32_t cache) = 0;
  virtual void list(const ListEntry& entry, const std::string& id, const loop::Address& at) = 0;
  virtual void forget(std::uint32_t cache) = 0;  // it left long ago

 protected:
  ~CacheSide() = default;
};

struct Listed {
  ListEntry entry;
  std::string id;
  loop::Address at{};
};

// What a leg's connection's end means to the decisions: this is the one place that says so.
Ending endingOf(loop::Parting how, bool writtenWhole);

// What decides: the module, or what a test puts around it.
using Decider = std::function<std::vector<Action>(Ms now, const Event& event)>;
Decider moduleFor(const StoreSheet& sheet, std::uint64_t seed);

class Exchange {
 public:
  Exchange(loop::Loop& loop, const StoreSheet& sheet, Decider decides);
  Exchange(loop::Loop& loop, const StoreSheet& sheet, std::uint64_t seed);
  void meet(CacheSide& caches) { caches_ = &caches; }
  Counters counters;
  bool ready() const { return listed_; }
  std::size_t openPulls() const { return pulls_.size(); }

  // from the clients' side
  std::uint32_t pullCame(Ask ask, Asker& asker);  // the answer may come from within
  void clientLeft(std::uint32_t pull);
  bool isOpen(std::string_view id) const;  // a pull of that id is owed its answer

  // from the caches' side
  void answerBegun(LegKey key, const Word& word, std::size_t length);
  void answerBytes(LegKey key, std::string_view bytes);
  void answerWhole(LegKey key, const Word& word);
  // `fellWith`: legs told before it that fell with the same connection.
  void legLost(LegKey key, loop::Parting how, bool writtenWhole, int fellWith = 0);
  void probeEnded(std::uint32_t cache, bool answered, Ms took, std::vector<float> report);
  /// The one check of every attempt, asked in the moment before its first byte is written: the time left until the attempt's
  /// timeout or its client's deadline, whichever comes first. 0: it must not be begun, since its client has left or has an
  /// answer, the time is up, or a repeat would no longer be known as one. Infinite for a request not of this exchange.
  Ms timeLeft(LegKey key);
  void lapsed(LegKey key);                    // it was not begun: nothing of it has left
  void moved(LegKey key, std::uint64_t via);  // it waited on a connection that ended, and waits on another

  // from the notice board
  // `up_to_date_at`: the last moment, on this front's clock, at which the notice board had nothing that was not passed on here, so that
  // what is told was announced after it; none: of the start.
  void listCame(bool whole, const std::vector<Listed>& entries, std::optional<Ms> up_to_date_at = std::nullopt);
  void purgeCame(bool wholeGroup, std::string_view object, int group, WallTime at, std::optional<Ms> up_to_date_at = std::nullopt);

  // from the fleet's verdict
  void sharesCame(std::vector<double> byZone) { tell(ZoneShares{std::move(byZone)}); }
  // from the fleet's record and its recovery
  void recallCame(std::string_view object, int group, int offering, bool lifted, Ms ago);
  void noOlder(Ms than);
  // The rules are another sheet's from now on: new pulls go by its offerings, and what decides is called at once. Which of them are
  // never kept, or stream, holds for the life of a process: a pull under way must not be another kind of pull.
  void turned(const StoreSheet& sheet) { offerings_ = sheet.offerings, tell(PeerSaid{}); }
  void letIn(std::vector<double> byOffering, Ms comeBack) { tell(LetIn{std::move(byOffering), comeBack}); }

 private:
  struct Leg {
    std::uint32_t cache = 0;
    std::uint64_t via = 0;
    std::uint32_t source = 0;
    Ms sentAt = 0, notAfter = 0;
    Ms deadline = 0;  // its timeout, or its client's deadline if that comes first
    bool out = true;
    std::uint64_t timer = 0, limit = 0;  // of its patience; of notAfter
    std::string bytes;
  };
  struct Pull {
    Ask ask;
    Asker* asker = nullptr;  // null once it has its final answer, or the client has left
    Ms expiresAt = 0;
    int streaming = -1;  // the leg that the client is being sent
    std::vector<Leg> legs;
  };

  static bool isOut(const Leg& leg) { return leg.out; }
  void tell(Event event);
  Asker* close(std::uint32_t pull);  // no answer is owed from here on
  void act(const SendLeg& a);
  void act(const CancelLeg& a);
  void act(const DeclinePull& a);
  void act(const AbandonPull& a);
  void act(const WakeMe& a);
  void act(const ProbeCache& a);
  void act(const FollowList&) {}  // the notice board is always followed
  void act(const WriteLine& a);
  void act(const TellHealth&) {}  // heard where the module is wrapped (src/front/front.cpp)
  Pull* known(std::uint32_t pull);
  Leg* legOut(LegKey key);
  void endLeg(LegKey key, Ending ending, const Word& word = {}, int fellWith = 0, bool ours = false);
  // Ends those attempts of a request that still wait here; `which` says of each whether it is meant.
  template <class Which>
  void takeBack(std::uint32_t pull, Which which);
  template <class Which>
  void takeBackAll(Which which);
  void takeBackPurged(std::string_view object, int group, int offering);
  void settle(std::uint32_t pull);
  void count(Ending ending);
  struct Known {
    std::uint32_t number = 0;
    Ms goneAt = 0;  // 0: listed
    WallTime startedAt;  // as last listed; 0: never a late start
    Notified notified;   // first, of that start
  };
  Known& numberOf(const std::string& machine);
  void forgetGone();

  loop::Loop& loop_;
  Decider decides_;
  std::vector<Offering> offerings_;
  CacheSide* caches_ = nullptr;
  bool listed_ = false, telling_ = false;
  std::uint32_t lastPull_ = 0;
  std::deque<Event> untold_;              // emptied before the outermost call returns
  std::vector<std::uint32_t> ended_;      // the same: pulls that may now be forgotten
  std::map<std::uint32_t, Pull> pulls_;   // emptied when a pull has its answer and its last leg is in
  std::map<std::string, Known> numbers_;  // machines, by id; emptied by news, some time after they have gone
  std::unordered_set<std::uint32_t> taken_;  // the numbers in `numbers_`, emptied with it
};

}  // namespace dunlinwick::exchange
