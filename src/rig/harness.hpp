// Many processes of the front on loopback, with toy caches for each zone, a fault relay
// (src/rig/relay.hpp) on every link, and clients that ask. It starts and ends each process by its
// id; what it does to them: kill -9, SIGSTOP, SIGCONT, restart under the same address. Tools and
// tests only: it starts processes.
//
// Front i: members at 127.0.0.(10 + i):port, clients at 127.0.0.(10 + i):(port + 200); its peers
// and caches through the relay's faces at port + 1. Zone z's caches: 127.0.0.(200 + z), port + 300
// on. Parent, origin and notice board: 127.0.0.199. Bounds: 64 fronts, 16 zones; a view is awaited
// 300 ms at most; 200,000 pulls are kept.
#pragma once
#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "json/json.hpp"
#include "loop/loop.hpp"
#include "rig/judge.hpp"
#include "rig/relay.hpp"
#include "rig/script.hpp"

namespace dunlinwick::fleet {

struct Programs {
  std::string front;
  std::string toy;
  std::string place;   // paths; place: with an owner only
  std::string folder;  // for configurations, logs
};

class Harness final : public Target {
 public:
  Harness(loop::Loop& loop, FleetFile fleet, Programs programs,
          std::uint64_t seed);  // starts everything
  ~Harness();                   // ends everything it started
  std::size_t size() const {
    return pids_.size();
  }
  Relay& relay() {
    return *relay_;
  }
  const FleetFile& fleet() const {
    return fleet_;
  }

  // Target
  void Kill(std::size_t front) override;
  void Restart(std::size_t front) override;
  void Stop(std::size_t front) override;
  void Resume(std::size_t front) override;
  void Cut(const std::vector<std::size_t>& group, bool out_only, bool on) override;
  void Links(const Step& how, bool on) override;
  void caches(std::size_t zone, bool silent, bool on) override;
  void Heal() override;

  bool Up(std::size_t front) const {
    return pids_[front] > 0 && !stopped_.count(front);
  }
  void Does(const Cue& cue);                       // plays it now and notes it for the checker
  void Run(const Script& script);                  // plays it to its end
  std::optional<json::Value> view(std::size_t i);  // nothing from a front that does not answer
  void Wait(double ms);                            // lets the relay and the clients work
  // Clients ask every front so often, from now on; a tenth of the pulls are exclusive.
  void Ask(double requests_per_s);
  History history();  // what the checker judges, up to now; reads the logs
  Ms begun() const {
    return begun_;
  }
  std::string Configuration(std::size_t i) const;
  static loop::Address at(std::size_t i, std::uint16_t port);

  // From its next start on, front i runs this program: fleets of two versions.
  void Runs(std::size_t i, const std::string& front) {
    program_of_[i] = front;
  }
  // From its next start on, the first `from` in front i's configuration reads `to`: one front that
  // differs.
  void Tweak(std::size_t i, const std::string& from, const std::string& to) {
    tweaks_[i] = {from, to};
  }
  // ---- with the fleet's layer
  std::optional<json::Value> LayerStatus(std::size_t i);
  // An operator's datagram to front i; its answer within so many ms, nothing if there was none.
  std::optional<std::string> operatorAsks(std::size_t i, const std::string& datagram,
                                          double within = 1000);
  std::string LogOf(std::size_t i) const;  // what front i has said, over all its lives
  // Of a front that is down: what it kept of the layer: its record ("record-"), floors ("floors-"),
  // owner's log ("store-").
  std::string StoreOf(std::size_t i, const std::string& kind) const {
    return programs_.folder + "/" + kind + std::to_string(i);
  }
  std::uint32_t MemberId(std::size_t i) const {
    return static_cast<std::uint32_t>(i + (fleet_.peers ? 1 : 0));
  }

  // ---- with an owner. Front i is owner's id i + 1; places have ids 1000 on, at 127.0.0.180 on.
  // With `peers` its relay is the members': a cut of the owner is one of the members as well.
  Relay& OwnerRelay() {
    return fleet_.peers ? *relay_ : *owner_relay_;
  }
  std::optional<json::Value> OwnerStatus(std::size_t i);
  void CutOwner(const std::vector<std::size_t>& group, bool out_only,
                bool on);         // fronts from each other; places stay in reach
  void LoseStore(std::size_t i);  // of one that is down
  loop::Address OwnerAt(std::size_t i) const {
    return at(i, static_cast<std::uint16_t>(fleet_.port + (fleet_.peers ? 0 : 600)));
  }

 private:
  struct Client;
  void Start(std::size_t i);
  void StartZone(std::size_t z);
  pid_t Spawn(const std::vector<std::string>& words, const std::string& log);
  loop::Address CacheAt(std::size_t z, int c) const;
  loop::Address PlaceAt(std::size_t p) const;
  std::string OwnerBlock(std::size_t i) const;
  std::string PeersBlock(std::size_t i) const;
  std::string LayerBlocks(std::size_t i) const;
  bool WholeZone(const std::vector<std::size_t>& group, std::size_t zone) const;
  void NextRequest();
  void EndClients();

  loop::Loop& loop_;
  FleetFile fleet_;
  Programs programs_;
  std::uint64_t seed_;
  Ms begun_ = 0;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<Relay> owner_relay_;
  std::vector<pid_t> pids_;
  std::vector<pid_t> zone_pids_;
  std::vector<pid_t> place_pids_;
  pid_t hub_ = 0;
  std::map<std::size_t, std::string> program_of_;
  std::map<std::size_t, std::pair<std::string, std::string>> tweaks_;
  std::set<std::size_t> stopped_;
  loop::Descriptor response_sink_;
  std::vector<CueDone> cues_;
  std::vector<RequestSeen> requests_;
  std::map<std::size_t, std::shared_ptr<Client>> clients_;  // by pull; emptied as they end
  std::uint64_t asking_ = 0;
  double requests_per_s_ = 0;
  std::knuth_b random_;
  std::size_t next_front_ = 0;
};

// A front's view (or its owner's status) as it answers for it, asked from outside the harness.
std::optional<json::Value> AskView(loop::Loop& loop, loop::Descriptor& response_sink,
                                   const loop::Address& front, std::string* raw = nullptr,
                                   const char* question = "DW?");

}  // namespace dunlinwick::fleet
