// The sockets between fronts while their system calls fail: two of them on the simulated network,
// one on an environment whose calls fail by a plan, each call at every ordinal, then for a while.
// What its channel promises arrives once; no spin, nothing open.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "front/fleet.hpp"
#include "front/peers.hpp"
#include "stage/stage.hpp"
#include "support/failing_environment.hpp"

using namespace dunlinwick;
using namespace dunlinwick::testing;
using loop::Ms;

namespace {

constexpr std::uint32_t kHosts[] = {0x0a000001, 0x0a000002};
constexpr std::uint16_t kPort = 7400;
constexpr std::size_t kMostIdleWaits = 100;
constexpr Call kDatagramCalls[] = {Call::kWait, Call::kSendTo, Call::kReceiveFrom};

struct NotingPart final : front::Part {
  std::vector<std::string> received;
  peers::Channel channel() const override {
    return peers::Channel::kRecord;
  }
  void Heard(peers::Id, std::span<const char> message) override {
    received.emplace_back(message.data(), message.size());
  }
  void Wake() override {}
  Ms WakeAt() const override {
    return 1e300;
  }
  std::string view() const override {
    return "{}";
  }
};

/// Two fronts' sockets, the first on a failing environment. Each sends the other a message of many
/// datagrams.
class PeersScenario {
 public:
  explicit PeersScenario(FailingEnvironment::Plan plan = nullptr) {
    environment.plan = std::move(plan);
    processes_[0]->UseEnvironment(environment);
    for (std::size_t i = 0; i < 2; ++i) {
      processes_[i]->Act([&] {
        sockets_[i] = std::make_unique<front::Peers>(processes_[i]->loop(), Terms(i));
        sockets_[i]->Carry(parts[i]);
      });
    }
  }
  ~PeersScenario() {
    TakeDown();
  }

  void Exchange() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Act([&] { sockets_[i]->Send(peers::Channel::kRecord, IdOf(1 - i), message); });
    net.RunUntil(net.now() + 5000);
  }
  void CheckInvariants() {
    for (const NotingPart& part : parts) {
      CHECK(part.received.size() == 1);
      if (!part.received.empty())
        CHECK(part.received.front() == message);
    }
    CHECK(environment.MostIdleWaits() < kMostIdleWaits);
    TakeDown();
    CHECK(environment.OpenDescriptors() == 0);
    CHECK(environment.InvalidCloses() == 0);
  }

  stage::Net net{1};
  const std::string message = std::string(20000, 'm');

 private:
  stage::Process* processes_[2] = {&net.Start(kHosts[0], "first"), &net.Start(kHosts[1], "second")};

 public:
  FailingEnvironment environment{*processes_[0]};
  NotingPart parts[2];

 private:
  static peers::Id IdOf(std::size_t index) {
    return static_cast<peers::Id>(index + 1);
  }
  static front::PeersTerms Terms(std::size_t index) {
    front::PeersTerms terms;
    terms.on = true;
    terms.self = IdOf(index);
    terms.listen = stage::AddressOf(kHosts[index], kPort);
    for (std::size_t i = 0; i < 2; ++i)
      terms.at[IdOf(i)] = stage::AddressOf(kHosts[i], kPort);
    return terms;
  }
  void TakeDown() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Act([&] { sockets_[i].reset(); });
  }

  std::unique_ptr<front::Peers> sockets_[2];
};

/// A fleet of two members on sockets of their own, the first on a failing environment.
class FleetScenario {
 public:
  explicit FleetScenario(FailingEnvironment::Plan plan = nullptr) {
    environment.plan = std::move(plan);
    processes_[0]->UseEnvironment(environment);
    for (std::size_t i = 0; i < 2; ++i) {
      processes_[i]->Act([&] {
        fleets_[i] = std::make_unique<front::Fleet>(processes_[i]->loop(), Terms(i), i, health_,
                                                    [](std::vector<double>) {});
      });
    }
  }
  ~FleetScenario() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Act([&] { fleets_[i].reset(); });
  }

  stage::Net net{1};

 private:
  stage::Process* processes_[2] = {&net.Start(kHosts[0], "first"), &net.Start(kHosts[1], "second")};

 public:
  FailingEnvironment environment{*processes_[0]};

 private:
  static front::FleetTerms Terms(std::size_t index) {
    front::FleetTerms terms;
    terms.on = true;
    terms.self = static_cast<std::uint32_t>(index);
    terms.listen = stage::AddressOf(kHosts[index], kPort);
    for (std::uint32_t i = 0; i < 2; ++i) {
      front::FleetMember member;
      member.id = i;
      member.at = stage::AddressOf(kHosts[i], kPort);
      terms.members.push_back(member);
    }
    terms.zones = {"a"};
    terms.zone_region = {0};
    return terms;
  }

  failover::Health health_{0, 1, 2};
  std::unique_ptr<front::Fleet> fleets_[2];
};

/// Calls of one kind fail with one error for so long from the start.
FailingEnvironment::Plan FailFor(const stage::Net& net, Call failing, int error, Ms lasting) {
  return [&net, failing, error, ends = net.now() + lasting](Call call,
                                                            std::size_t) -> std::optional<Failure> {
    if (call == failing && net.now() < ends)
      return Failure{error};
    return std::nullopt;
  };
}

TEST_CASE("every call on the peers' socket fails once at every ordinal") {
  PeersScenario whole;
  whole.Exchange();
  std::size_t plans = 0;
  for (Call call : kDatagramCalls) {
    REQUIRE(whole.environment.Calls(call) > 0);
    for (std::size_t ordinal = 0; ordinal < whole.environment.Calls(call); ++ordinal) {
      for (Failure failure : FailuresOf(call)) {
        CAPTURE(Name(call));
        CAPTURE(ordinal);
        CAPTURE(failure.error);
        PeersScenario scenario(FailOnce(call, ordinal, failure));
        REQUIRE_NOTHROW(scenario.Exchange());
        scenario.CheckInvariants();
        ++plans;
      }
    }
  }
  whole.CheckInvariants();
  MESSAGE(plans << " plans");
}

TEST_CASE("want of buffers that lasts makes no socket between fronts spin") {
  constexpr Ms kLasting = 200;
  for (Call call : {Call::kSendTo, Call::kReceiveFrom}) {
    for (int error : {ENOBUFS, ENOMEM}) {
      CAPTURE(Name(call));
      CAPTURE(error);
      PeersScenario peers;
      peers.environment.plan = FailFor(peers.net, call, error, kLasting);
      CHECK_NOTHROW(peers.Exchange());
      CHECK(peers.environment.Failures() > 0);
      peers.CheckInvariants();
      FleetScenario fleet;
      fleet.environment.plan = FailFor(fleet.net, call, error, 3000);
      CHECK_NOTHROW(fleet.net.RunUntil(fleet.net.now() + 6000));
      CHECK(fleet.environment.Failures() > 0);
      CHECK(fleet.environment.MostIdleWaits() < kMostIdleWaits);
    }
  }
}

TEST_CASE("a socket between fronts that cannot be opened is told at the start") {
  for (Failure failure : FailuresOf(Call::kOpenDatagrams)) {
    CAPTURE(failure.error);
    CHECK_THROWS_AS(PeersScenario(FailOnce(Call::kOpenDatagrams, 0, failure)), std::runtime_error);
    CHECK_THROWS_AS(FleetScenario(FailOnce(Call::kOpenDatagrams, 0, failure)), std::runtime_error);
  }
}

}  // namespace
