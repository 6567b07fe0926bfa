#include "drill/run.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "drill/scene.hpp"
#include "drill/site.hpp"

namespace dunlinwick::drill {

using rules::Deed;
using rules::Fact;
using world::Grade;

namespace {

constexpr Ms second = 1000;
// Hosts by what stands there.
constexpr std::uint16_t membersPort = 7400;
constexpr std::uint32_t frontNet = 0x000000, storeNet = 0x010000, hubNet = 0x020000, boardHost = 0x030001,
                        clientNet = 0x040000;

class Stage final : world::Witness {
 public:
  Stage(const Script& script, const Options& options, Scene& scene)
      : script_(script),
        options_(options),
        site_(siteFor(script, options.seed)),
        scene_(scene),
        net_(scene.net()),
        start_(scene.now()),
        clientsFrom_(start_ + (scene.net() ? 500 : 2000)),  // real processes take a moment to start
        end_(clientsFrom_ + script.length),
        dice_(options.seed * 3 + 2),
        checker_(limitsFor(script, options.seed)),
        model_(
            site_.terms, options.seed * 5 + 3, start_,
            [this](Ms when, std::function<void()> what) { scene_.at(when, std::move(what)); }, *this) {
    if (net_) net_->setChoppy(script.choppy);
    if (net_) layMap();
    for (std::size_t k = 0; k < site_.linkCapacity.size(); ++k)
      model_.setLink(static_cast<int>(k), site_.linkCapacity[k]);
    std::uint32_t number = 0;
    for (const world::Make& make : site_.makes) {
      ++number;
      std::uint32_t host = (make.grade == Grade::store ? storeNet : hubNet) + number;
      place(host, make.grade == Grade::store ? make.store + 1 : 0);
      boxes_.push_back(std::make_unique<Box>());
      Box& b = *boxes_.back();
      b.make = make, b.host = host, b.at = scene_.address(host, 5050);
      raise(b);
    }
    number = 0;
    for (const SiteFront& f : site_.fronts) {
      ++number;
      hosts_.push_back(std::make_unique<Host>());
      Host& h = *hosts_.back();
      h.front = f, h.host = frontNet + number, h.at = scene_.address(h.host, 8080);
      h.boardAt = scene_.address(boardHost, static_cast<std::uint16_t>(4222 + number));
      place(h.host, f.store + 1);
      h.boardProcess = &scene_.start(boardHost, "board-" + std::to_string(number));
      h.boardProcess->act([&] {
        h.board = std::make_unique<BoardSpeaker>(h.boardProcess->loop(), h.boardAt, 2,
                                                 [this, &h](std::uint64_t event) { told(h, event); });
      });
    }
    for (auto& h : hosts_) begin(*h);
    for (std::size_t k = 0; k < site_.traffic.size(); ++k) {
      std::uint32_t host = clientNet + static_cast<std::uint32_t>(k) + 1;
      place(host, script_.stores + 1 + static_cast<int>(k));
      Player& p = scene_.start(host, "clients-" + std::to_string(k + 1));
      crowds_.push_back({&p, nullptr});
      ClientTerms terms;
      terms.pullsPerS = site_.pullsPerS * site_.traffic[k];
      terms.retries = script.retries, terms.wait = script.retryWait, terms.swing = script.swing;
      terms.impatient = script.impatient, terms.honour = site_.honour, terms.notice = site_.clientNotice;
      terms.bytesPerKb = script.bytesPerKb;
      std::vector<Clients::FrontAt> fronts;
      for (auto& h : hosts_)
        if (h->front.store == static_cast<int>(k)) fronts.push_back({h->front.name, h->at});
      p.act([&] {
        crowds_.back().clients = std::make_unique<Clients>(
            p.loop(), model_, teller(), outcome_.takings, terms, static_cast<int>(k), fronts,
            options.seed * 1000 + 17 * k + 5, clientsFrom_, end_);
        crowds_.back().clients->seen = [this](const std::string&) { occur(Moment::handoverAsked); };
      });
    }
    for (std::size_t i = 0; i < script.troubles.size(); ++i) {
      const Trouble& t = script.troubles[i];
      if (t.when == Moment::none) scene_.at(clientsFrom_ + t.at, [this, &t] { befall(t); });
    }
    armed_.assign(script.troubles.size(), true);
  }

  ~Stage() {
    for (auto& h : hosts_) {
      h->served.reset();
      scene_.vanish(*h->boardProcess);
      h->board.reset();
    }
    for (auto& b : boxes_) {
      if (b->process) scene_.vanish(*b->process);
      b->speaker.reset();
    }
    for (auto& c : crowds_) {
      scene_.vanish(*c.process);
      c.clients.reset();
    }
  }

  Outcome play() {
    auto began = std::chrono::steady_clock::now();  // for the report's speed alone
    constexpr Ms after = 6000;                      // the longest expiry and a little
    for (Ms t = start_; t < end_ + after;) {
      t = std::min(t + second, end_ + after);
      scene_.runUntil(t);
      look();
      if (options_.progress) options_.progress((t - start_) / (end_ + after - start_));
      if (options_.stopAtBreach && !checker_.kept()) break;
    }
    checker_.finish(scene_.now());
    Outcome o = std::move(outcome_);
    o.drill = script_.name;
    o.seed = options_.seed;
    if (net_) o.digest = net_->digest(), o.events = net_->events();
    o.played = scene_.now() - start_;
    o.tookS = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    o.breaches = checker_.breaches();
    for (rules::Breach& b : o.breaches) b.at -= clientsFrom_;
    for (int i = 0; i < rules::howMany; ++i) o.counts[i] = checker_.count(static_cast<rules::Rule>(i));
    o.nearest = checker_.nearest();
    o.bytes = model_.bytes;
    o.askedKb = o.bytes.asked * site_.terms.flowKbPerMs;
    for (auto& one : site_.terms.offerings) o.offerings.push_back(one.name);
    return o;
  }

 private:
  struct Box {  // an address at which a machine stands
    world::Make make;
    std::uint32_t host = 0;
    loop::Address at{};
    Player* process = nullptr;
    std::unique_ptr<MachineSpeaker> speaker;
    bool listed = true;
    bool toldOfStart = true;
    std::string state = "in_service";
    int successor = 0;
  };
  struct Host {  // an address at which a front stands
    SiteFront front;
    std::uint32_t host = 0;
    loop::Address at{}, boardAt{};
    Player* boardProcess = nullptr;
    std::unique_ptr<BoardSpeaker> board;
    std::unique_ptr<Served> served;
    int starts = 0;
    bool stopping = false;
  };
  struct Crowd {
    Player* process;
    std::unique_ptr<Clients> clients;
  };
  struct Event {  // of the boards
    Fact fact;    // as a front is told it; who and when are filled in
    Ms publishedAt = 0;
    std::string json;
  };

  Tell teller() {
    return [this](Fact f) { see(std::move(f)); };
  }
  void see(Fact f) {
    outcome_.legs += f.deed == Deed::legCame;
    if (options_.trace) *options_.trace << rules::line(f) << "\n";
    checker_.take(f);
  }

  std::uint32_t addressed(std::uint32_t host) { return ntohl(scene_.address(host, 1).sin_addr.s_addr); }
  void place(std::uint32_t host, int site) {
    if (net_) net_->place(addressed(host), site);
  }
  void layMap() {
    int stores = script_.stores;
    auto join = [&](int a, int b, Ms latency) {
      stage::Way w;
      w.latency = latency, w.jitter = 0.25;
      net_->join(a, b, w), net_->join(b, a, w);
    };
    join(0, 0, site_.storeWay);
    for (int a = 1; a <= stores; ++a) {
      join(0, a, site_.hubWay);
      join(a, a, site_.storeWay);
      join(a, stores + a, site_.clientWay);
      for (int b = 1; b < a; ++b) join(a, b, 2 * site_.hubWay);
    }
  }

  // ---- machines

  void raise(Box& b) {
    b.process = &scene_.start(b.host, b.make.id);
    model_.add(b.make);
    MachineSpeaker::Setup setup;
    setup.id = b.make.id, setup.at = b.at, setup.bytesPerKb = script_.bytesPerKb;
    setup.seed = options_.seed * 77 + b.host + static_cast<std::uint64_t>(b.successor);
    for (auto& o : site_.terms.offerings) setup.offerings.push_back(o.name);
    Player* p = b.process;
    p->act([&] {
      b.speaker = std::make_unique<MachineSpeaker>(
          p->loop(), [p](const std::function<void()>& what) { p->act(what); }, model_, teller(), std::move(setup));
    });
  }
  void fell(Box& b, bool silently) {
    if (!b.process) return;
    model_.remove(scene_.now(), b.make.id);
    if (silently) scene_.vanish(*b.process), see(unseen(12000));
    else scene_.kill(*b.process);
    b.speaker.reset();
    b.process = nullptr;
  }
  Fact unseen(Ms lasts) {
    Fact f;
    f.deed = Deed::unseen, f.at = scene_.now(), f.number = scene_.now() + lasts;
    return f;
  }
  // A new process there, cold and empty.
  void rise(Box& b) {
    if (b.process) return;
    b.make.startedAt = scene_.now();
    b.toldOfStart = false;
    raise(b);
    occur(Moment::coldStart);
    list(b, "in_service", site_.addNotice);
  }
  void list(Box& b, const char* state, Ms after) {
    Event e;
    e.fact.deed = Deed::listed, e.fact.other = b.make.id;
    e.fact.word = std::string(state) == "in_service" ? "ready" : std::string(state) == "terminating" ? "draining" : "gone";
    e.json = "{\"pool\":{\"version\":1,\"full\":false,\"servers\":[" + listing(b.make, stage::text(b.at), state) + "]}}";
    scene_.at(scene_.now() + after, [this, &b, e = std::move(e), state = std::string(state)]() mutable {
      b.state = state;
      if (state == "in_service" && !std::exchange(b.toldOfStart, true)) model_.startTold(b.make.id);
      states_[e.fact.other] = {&b, state, e.json};
      publish(std::move(e));
    });
  }

  // ---- boards

  void publish(Event e) {
    e.publishedAt = scene_.now();
    events_.push_back(std::move(e));
    for (auto& h : hosts_) {
      std::string json = events_.back().json;
      h->boardProcess->act([&] { h->board->publish(std::move(json)); });
    }
    if (events_.back().fact.word == "draining") occur(Moment::drainTold);
    if (events_.back().fact.deed == Deed::purged) occur(Moment::purgeTold);
  }
  void told(Host& h, std::uint64_t number) {
    Fact f = events_[number - 2].fact;
    f.who = h.front.name, f.at = scene_.now();
    see(std::move(f));
  }

  // What a front is handed at its start: the list as it is, and the purges that are not yet done.
  std::string known(Host& h) {
    std::string servers;
    for (auto& b : boxes_)
      if (b->state != "terminated" && b->listed)
        servers += (servers.empty() ? "" : ",") + listing(b->make, stage::text(b->at), b->state.c_str());
    std::string rev = std::to_string(events_.size() + 1);
    std::string notices = "{\"rev\":" + rev + ",\"pool\":{\"version\":1,\"full\":true,\"servers\":[" + servers + "]}}";
    for (auto& b : boxes_) {
      if (b->state == "in_service" || !b->listed) continue;
      Fact f;
      f.deed = Deed::listed, f.at = scene_.now(), f.who = h.front.name, f.other = b->make.id;
      f.word = b->state == "terminating" ? "draining" : "gone";
      see(std::move(f));
    }
    for (const Event& e : events_) {
      if (e.fact.deed != Deed::purged || e.fact.number < scene_.now() - site_.terms.purgeDone) continue;
      notices += ",{\"rev\":" + rev + "," + e.json.substr(1);
      Fact f = e.fact;
      f.at = scene_.now(), f.who = h.front.name;
      see(std::move(f));
    }
    return "{\"rev\":" + rev + ",\"notices\":[" + notices + "]}";
  }

  // ---- fronts

  void begin(Host& h) {
    if (h.served) return;
    Fact up;
    up.deed = Deed::frontUp, up.at = scene_.now(), up.who = h.front.name;
    see(std::move(up));
    h.stopping = false;
    std::uint64_t seed = options_.seed * 7919 + h.host * 31 + static_cast<std::uint64_t>(h.starts);
    std::string fleet;
    if (script_.inCommon) {
      std::vector<std::string> members;
      for (auto& one : hosts_) members.push_back(stage::text(scene_.address(one->host, membersPort)));
      fleet = fleetBlock(site_, h.front, members);
    }
    std::string text =
        configuration(script_, site_, h.front, stage::text(h.at), stage::text(h.boardAt), seed, known(h), fleet);
    h.served = scene_.serve(h.host, h.front.name, text, script_.descriptors,
                            options_.breaker ? options_.breaker() : nullptr);
    if (h.starts++ > 0) occur(Moment::frontBack);
  }
  void kill(Host& h) {
    if (!h.served) return;
    Fact down;
    down.deed = Deed::frontDown, down.at = scene_.now(), down.who = h.front.name;
    see(std::move(down));
    h.served.reset();
  }
  // Fronts that were asked to stop and have: their successors start.
  void look() {
    for (auto& h : hosts_)
      if (h->stopping && h->served && h->served->ended()) {
        kill(*h);
        begin(*h);
        for (Clients* c : clients()) c->stopping(h->front.name, 1e18, 1e18);
      }
  }

  // ---- what the world does

  void ran(Ms at, const std::string& id, const std::string& thing) override {
    Fact f;
    f.deed = Deed::ran, f.at = at, f.pull = id, f.thing = thing, f.who = "office";
    see(std::move(f));
  }
  void coldPush(const std::string& machine, double share) override {
    for (auto& b : boxes_)
      if (b->make.id == machine && !b->toldOfStart) return;
    Fact f;
    f.deed = Deed::coldPush, f.at = scene_.now(), f.number = share;
    checker_.take(f);
  }
  void pushedOver(Ms at, const std::string& machine, double work, double limit) override {
    for (auto& b : boxes_) {
      if (b->make.id != machine || !b->process) continue;
      Fact f;
      f.deed = Deed::pushedOver, f.at = at, f.who = machine, f.number = work, f.limit = limit;
      // It binds fronts that were told of the start. One that nobody was told of falls over all the same.
      if (b->toldOfStart) see(std::move(f));
      else outcome_.happened.push_back("            " + machine + " fell over before fronts were told of its start");
      scene_.at(scene_.now(), [this, box = b.get()] {
        fell(*box, false);
        list(*box, "terminated", site_.notice);
      });
      return;
    }
  }

  // ---- troubles

  void occur(Moment moment) {
    for (std::size_t i = 0; i < script_.troubles.size(); ++i) {
      const Trouble& t = script_.troubles[i];
      if (t.when != moment || i >= armed_.size() || !armed_[i] || scene_.now() < clientsFrom_) continue;
      armed_[i] = false;
      scene_.at(scene_.now() + t.at, [this, &t] { befall(t); });
    }
  }

  // Those it befalls: the id, or some of a kind in an order of the seed's.
  template <class T, class Name>
  std::vector<T*> chosen(std::vector<std::unique_ptr<T>>& all, const Trouble& t, Name fits) {
    std::vector<T*> some;
    for (auto& one : all)
      if (fits(*one)) some.push_back(one.get());
    if (t.whom.find('-') != std::string::npos) return some;
    for (std::size_t i = some.size(); i > 1; --i)
      std::swap(some[i - 1], some[static_cast<std::size_t>(world::between(dice_, 0, static_cast<double>(i) - 1e-9))]);
    if (t.count > 0 && some.size() > static_cast<std::size_t>(t.count)) some.resize(static_cast<std::size_t>(t.count));
    return some;
  }
  std::vector<Box*> boxesFor(const Trouble& t) {
    return chosen(boxes_, t, [&](const Box& b) {
      if (!b.process) return false;
      static const char* const kinds[] = {"cache", "area", "office"};
      return t.whom == b.make.id || t.whom == kinds[static_cast<int>(b.make.grade)];
    });
  }
  std::vector<Host*> hostsFor(const Trouble& t) {
    return chosen(hosts_, t, [&](const Host& h) { return h.served && (t.whom == "front" || t.whom == h.front.name); });
  }
  std::vector<Clients*> clients() {
    std::vector<Clients*> all;
    for (auto& c : crowds_) all.push_back(c.clients.get());
    return all;
  }
  void note(const Trouble& t, const std::string& whom) {
    char at[40];
    std::snprintf(at, sizeof at, "%8.3f s  ", (scene_.now() - clientsFrom_) / second);
    outcome_.happened.push_back(at + std::string(word(t.what)) + (whom.empty() ? "" : " " + whom));
  }
  void until(Ms lasts, std::function<void()> what) { scene_.at(scene_.now() + lasts, std::move(what)); }

  // Told to go, gone after its time; with a successor there under a new id, or none.
  void drain(Box& b, Ms lasts, bool back) {
    if (!b.process || b.state != "in_service") return;
    list(b, "terminating", 0);
    until(lasts, [this, &b, back, life = b.process] {
      if (b.process != life) return;  // something else came over it
      fell(b, false);
      list(b, "terminated", site_.notice);
      if (!back) return;
      until(site_.notice + 50, [this, &b] {  // the old one is off the list by then
        if (b.process) return;
        std::size_t plus = b.make.id.find('+');
        b.make.id = b.make.id.substr(0, plus) + "+" + std::to_string(++b.successor);
        rise(b);
      });
    });
  }

  void befall(const Trouble& t) {
    Ms now = scene_.now();
    auto forAll = [&](auto what) {
      for (Box* b : boxesFor(t)) note(t, b->make.id), what(*b);
    };
    switch (t.what) {
      case What::stall:
        forAll([&](Box& b) {
          model_.stall(now, b.make.id, now + t.lasts);
          if (b.make.grade != Grade::office) b.process->standStill(now + t.lasts);
          see(unseen(t.lasts + 3000));
          if (b.make.grade == Grade::office) occur(Moment::officeStopped);
        });
        return;
      case What::slow:
        forAll([&](Box& b) {
          model_.slow(now, b.make.id, t.factor);
          until(t.lasts, [this, &b] { model_.slow(scene_.now(), b.make.id, 1); });
        });
        return;
      case What::ageing:
        forAll([&](Box& b) {
          constexpr int steps = 10;
          for (int i = 1; i <= steps; ++i)
            until(t.lasts * i / steps, [this, &b, f = 1 + (t.factor - 1) * i / steps, life = b.process] {
              if (b.process == life) model_.slow(scene_.now(), b.make.id, f);
            });
          until(t.lasts + 1, [this, &b] {
            fell(b, false);
            list(b, "terminated", site_.notice);
            until(site_.notice + 500, [this, &b] { rise(b); });
          });
        });
        return;
      case What::kill:
        forAll([&](Box& b) {
          fell(b, false);
          list(b, "terminated", site_.notice);
        });
        return;
      case What::restart:
      case What::vanish:
        forAll([&](Box& b) {
          bool silent = t.what == What::vanish;
          fell(b, silent);
          Ms notice = silent ? site_.silentNotice : site_.notice;
          if (notice < t.lasts) list(b, "terminated", notice);
          until(t.lasts, [this, &b] { rise(b); });
        });
        return;
      case What::drain:
        forAll([&](Box& b) { drain(b, t.lasts, true); });
        return;
      case What::take:
        forAll([&](Box& b) { drain(b, t.lasts, false); });
        return;
      case What::deploy: {
        std::vector<Box*> all = boxesFor(t);
        for (std::size_t i = 0; i < all.size(); ++i)
          until(t.lasts * static_cast<double>(i) / static_cast<double>(all.size()), [this, b = all[i], &t] {
            note(t, b->make.id);
            drain(*b, 1500, true);
          });
        return;
      }
      case What::purge:
      case What::purgeGroups: {
        note(t, "");
        bool groups = t.what == What::purgeGroups;
        int many = groups ? static_cast<int>(std::round(256 * t.share)) : std::max(1, t.count);
        for (int i = 0; i < many; ++i) {
          Event e;
          e.fact.deed = Deed::purged, e.fact.flag = groups, e.fact.number = std::floor(now);
          std::string ms = std::to_string(static_cast<long long>(now));
          if (groups) {
            e.fact.group = (i * 167 + 13) % 256;
            e.json = "{\"flush\":{\"collection\":" + std::to_string(e.fact.group) + ",\"ms\":" + ms + "}}";
          } else {
            e.fact.thing = clients()[static_cast<std::size_t>(i) % crowds_.size()]->anyPopular();
            e.json = "{\"flush\":{\"asset\":\"" + e.fact.thing + "\",\"ms\":" + ms + "}}";
          }
          model_.purge(std::floor(now), groups, e.fact.thing, e.fact.group);
          until(site_.purgeNotice, [this, e]() mutable { publish(std::move(e)); });
        }
        return;
      }
      case What::apart:
        return part(t);
      case What::cut:
      case What::lag:
      case What::oneWay:
        return network(t);
      case What::loss:
        note(t, "");
        for (int k = 1; k <= script_.stores; ++k)
          for (int other : {0, k, script_.stores + k})
            for (auto [a, b] : {std::pair{k, other}, std::pair{other, k}}) {
              net_->way(a, b).lost = t.share;
              until(t.lasts, [this, a = a, b = b] { net_->way(a, b).lost = 0; });
            }
        {
          Fact f = unseen(t.lasts + 3000);
          f.flag = true;  // answers may come late by no fault of the front's
          see(std::move(f));
        }
        return;
      case What::lateReports:
        note(t, "");
        model_.lateReports(t.late);
        until(t.lasts, [this] { model_.lateReports(0); });
        return;
      case What::oddSizes:
        note(t, "");
        for (Clients* c : clients()) {
          c->odd = t.share, c->oddFactor = t.factor;
          until(t.lasts, [c] { c->odd = 0; });
        }
        return;
      case What::scan:
        note(t, "");
        for (Clients* c : clients()) {
          c->once = t.share;
          until(t.lasts, [c] { c->once = 0; });
        }
        return;
      case What::crowd:
        note(t, "");
        for (Clients* c : clients()) {
          c->crowd = t.factor;
          until(t.lasts, [c] { c->crowd = 1; });
        }
        return;
      case What::frontKill:
        for (Host* h : hostsFor(t)) {
          note(t, h->front.name);
          kill(*h);
          until(t.lasts, [this, h] { begin(*h); });
        }
        return;
      case What::frontStop:
        for (Host* h : hostsFor(t)) {
          note(t, h->front.name);
          h->stopping = true;
          // The protocol: new connections for 0.2 to 0.4 s more, requests on open ones for 0.2 s more.
          for (Clients* c : clients()) {
            Ms fresh = now + world::between(dice_, 200, 400);
            c->stopping(h->front.name, fresh, fresh + 200);
          }
          h->served->stop();
        }
        return;
      case What::boardBreak:
        note(t, "");
        for (auto& h : hosts_) h->boardProcess->act([&] { h->board->breakOff(); });
        return;
      case What::boardStop:
        note(t, "");
        for (auto& h : hosts_) h->boardProcess->act([&] { h->board->stopUntil(now + t.lasts); });
        return;
      case What::swallowed:
      case What::brokenOff:
      case What::noise:
        forAll([&](Box& b) {
          Spoilt& s = b.speaker->spoilt;
          (t.what == What::swallowed ? s.swallowed : t.what == What::brokenOff ? s.brokenOff : s.noise) = t.share;
          until(t.lasts, [&b] {
            if (b.speaker) b.speaker->spoilt = {};
          });
        });
        return;
    }
  }

  // A group of fronts and the others of the fleet don't hear each other. Shorter of a quorum than the fleet, those of
  // the group may send nothing to other zones' caches.
  void part(const Trouble& t) {
    std::vector<Host*> group = hostsFor(t);
    auto inside = [&](const Host* h) { return std::count(group.begin(), group.end(), h) > 0; };
    std::vector<std::pair<std::uint32_t, std::uint32_t>> pairs;
    for (Host* h : group) {
      note(t, h->front.name);
      for (auto& other : hosts_)
        if (!inside(other.get()))
          for (auto [a, b] : {std::pair{h->host, other->host}, std::pair{other->host, h->host}})
            pairs.emplace_back(addressed(a), addressed(b));
    }
    auto apart = [this, pairs](bool on) {
      for (auto [a, b] : pairs) net_->setApart(a, b, on);
    };
    apart(true);
    until(t.lasts, [apart] { apart(false); });
    if (2 * group.size() > hosts_.size()) return;
    for (Host* h : group)
      for (bool on : {true, false})
        until(on ? 0 : t.lasts, [this, h, on] {
          Fact f;
          f.deed = Deed::parted, f.at = scene_.now(), f.who = h->front.name, f.group = h->front.store + 1, f.flag = on;
          see(std::move(f));
        });
  }

  void network(const Trouble& t) {
    std::vector<std::uint32_t> hosts;
    bool fronts = false;
    if (t.whom == "board") hosts.push_back(boardHost), note(t, "board");
    for (Box* b : boxesFor(t)) hosts.push_back(b->host), note(t, b->make.id);
    for (Host* h : hostsFor(t)) hosts.push_back(h->host), note(t, h->front.name), fronts = true;
    Fact f = unseen(t.lasts + 12000);
    f.flag = fronts;  // what a front said may be held up
    see(std::move(f));
    for (std::uint32_t host : hosts) {
      if (t.what == What::lag) {
        net_->setLag(addressed(host), t.late);
        until(t.lasts, [this, host] { net_->setLag(addressed(host), 0); });
      } else {
        net_->setCut(addressed(host), t.what == What::cut, true);
        until(t.lasts, [this, host] { net_->setCut(addressed(host), false, false); });
      }
    }
  }

  const Script& script_;
  const Options& options_;
  Site site_;
  Scene& scene_;
  stage::Net* net_;  // null on sockets
  Ms start_, clientsFrom_, end_;
  world::Dice dice_;
  rules::Checker checker_;
  world::Model model_;
  Outcome outcome_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Crowd> crowds_;
  std::vector<Event> events_;  // event 2 is the first; by the script's length
  struct State {
    Box* box;
    std::string state, json;
  };
  std::map<std::string, State> states_;
  std::vector<bool> armed_;
};

}  // namespace

rules::Limits limitsFor(const Script& script, std::uint64_t seed) {
  Site site = siteFor(script, seed);
  rules::Limits l;
  for (const auto& o : site.terms.offerings) {
    rules::OfferingRule r;
    r.name = o.name, r.effect = static_cast<rules::Effect>(o.effect), r.memory = o.memory;
    r.span = rules::Span::zone;
    l.offerings.push_back(r);
  }
  l.purgeDone = site.terms.purgeDone;
  for (const auto& m : site.makes) l.places[m.id] = {m.store + 1, m.store + 1};
  return l;
}

Outcome play(const Script& script, const Options& options) {
  if (options.program.empty()) {
    auto scene = staged(options.seed, options.logs);
    return Stage(script, options, *scene).play();
  }
  auto scene = onSockets(options.program, options.folder);
  return Stage(script, options, *scene).play();
}

}  // namespace dunlinwick::drill
