// The peers' socket of a front on loopback, and the validation of its configuration block: two
// sockets in one process with components that record what they receive; a 300 KB message, status
// requests, unknown senders, malformed datagrams, an executor's report; and each configuration
// error by field and reason.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "front/charter.hpp"
#include "front/peers.hpp"
#include "json/json.hpp"
#include "peers/wire.hpp"

using namespace dunlinwick;

namespace {

struct RecordingComponent final : front::FleetComponent {
  peers::Channel its_channel;
  std::vector<std::pair<peers::Id, std::string>> messages;
  std::vector<std::string> raw_datagrams;
  int timers = 0;
  explicit RecordingComponent(peers::Channel c) : its_channel(c) {}
  peers::Channel channel() const override {
    return its_channel;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override {
    messages.emplace_back(from, std::string(message.data(), message.size()));
  }
  void HandleRawDatagram(std::span<const char> datagram) override {
    raw_datagrams.emplace_back(datagram.data(), datagram.size());
  }
  void HandleTimer() override {
    ++timers;
  }
  front::Ms NextTimerAt() const override {
    return 1e300;
  }
  std::string StatusJson() const override {
    return std::string("{\"part\":\"") + peers::ToString(its_channel) + "\"}";
  }
};

loop::Address LoopbackAddress(int last_byte, int port) {
  return *loop::ReadAddress("127.0.0." + std::to_string(last_byte) + ":" + std::to_string(port));
}

// Why the example configuration with `blocks` is rejected, or "".
std::string ErrorOf(const std::string& blocks) {
  std::ifstream file(EXAMPLE);
  std::stringstream text;
  text << file.rdbuf();
  std::string configuration = text.str();
  configuration.insert(configuration.find('{') + 1, blocks + ",");
  try {
    front::ParseConfiguration(configuration, "test", "");
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

const std::string kPeersBlock =
    R"("peers": {"self": 2, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "127.0.0.100:7401"}, {"id": 2, "at": "127.0.0.10:7400"}]})";
std::string WithFleet(const std::string& self, const std::string& listen,
                      const std::string& members) {
  return kPeersBlock + R"(, "fleet": {"self": )" + self + listen +
         R"(, "zones": [{"name": "a", "region": "n"}], "members": [)" + members + "]}";
}
std::string WithOwner(const std::string& members, const std::string& executors) {
  return kPeersBlock + R"(, "owner": {"self": 2, "members": [)" + members + R"(], "places": [)" +
         executors + R"(], "group": [1, 2, 3], "works": []})";
}

}  // namespace

TEST_CASE("a large message, status requests, unknown senders and malformed datagrams on loopback") {
  loop::Loop loop;
  int port = 20000 + ::getpid() % 20000;
  front::PeersSettings first, second;
  first.enabled = second.enabled = true;
  first.self = 1;
  second.self = 2;
  first.listen = LoopbackAddress(31, port);
  second.listen = LoopbackAddress(32, port);
  first.addresses = second.addresses = {{1, first.listen}, {2, second.listen}};
  front::PeerSocket a(loop, first), b(loop, second);
  RecordingComponent record(peers::Channel::kRecord), owner(peers::Channel::kOwner),
      members(peers::Channel::kMembers);
  b.Register(record);
  b.Register(owner);
  b.Register(members);
  std::string large;
  for (std::uint32_t i = 0; i < 300000; ++i)
    large += static_cast<char>(i * i >> 7);
  a.Send(peers::Channel::kRecord, 2, large);
  a.Send(peers::Channel::kMembers, 2, "probe");
  a.Send(peers::Channel::kMembers, 9, "to nobody");
  loop::Descriptor other(loop.environment(),
                         loop.environment().OpenDatagrams(LoopbackAddress(33, port)));
  auto send = [&](const std::string& datagram) {
    loop.environment().SendTo(other.Get(), datagram, second.listen);
  };
  send(peers::Encode(peers::Channel::kMembers, 7, peers::Kind::kComplete,
                     std::string("an unknown sender")));
  send(peers::Encode(peers::Channel::kMembers, 2, peers::Kind::kComplete, std::string("oneself")));
  send("DO\x01 an executor's report");
  send("junk");
  send("");
  send("DP");
  send(std::string(3000, 'D'));
  for (const char* request : {"DW?", "DO?", "DP?"})
    send(request);
  for (double end = loop.now() + 20000; loop.now() < end && record.messages.empty();)
    loop.RunOnce(20);
  REQUIRE(record.messages.size() == 1);
  CHECK(record.messages[0].first == 1);
  CHECK(record.messages[0].second == large);
  REQUIRE(members.messages.size() == 1);
  CHECK(members.messages[0] == std::pair<peers::Id, std::string>(1, "probe"));
  CHECK(owner.raw_datagrams.size() == 1);
  CHECK(owner.messages.empty());
  std::vector<std::string> answers;
  char buffer[4096];
  loop::Address from{};
  for (ssize_t got = 0; (got = loop.environment().ReceiveFrom(other.Get(), buffer, from)) >= 0;)
    answers.emplace_back(buffer, static_cast<std::size_t>(got));
  REQUIRE(answers.size() == 3);
  CHECK(answers[0] == "{\"part\":\"members\"}");
  CHECK(answers[1] == "{\"part\":\"owner\"}");
  auto v = json::Parse(answers[2]);
  REQUIRE(v);
  auto status = json::Parse(b.StatusJson());
  REQUIRE(status);
  CHECK(status->GetNumber("strangers") == 2.0);
  CHECK(status->GetNumber("junk") == 4.0);
  CHECK(json::Parse(a.StatusJson())->GetNumber("unsent") == 1.0);
}

TEST_CASE("an invalid peers block is rejected with the field and the reason") {
  CHECK(ErrorOf(kPeersBlock) == "");
  CHECK(ErrorOf(R"("peers": 7)") == "peers: must be an object");
  CHECK(ErrorOf(R"("peers": ["10.3.0.1:7946"])") ==
        "");  // the platform's own field with the fronts' addresses, not the block
  CHECK(ErrorOf(R"("peers": {})") == "peers.self: must be an integer in [1, 1000000000]");
  CHECK(ErrorOf(R"("peers": {"self": 0})") == "peers.self: must be an integer in [1, 1000000000]");
  CHECK(ErrorOf(R"("peers": {"self": 1})") ==
        "peers.listen: must be an address such as 127.0.0.10:7400");
  CHECK(ErrorOf(R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": []})") ==
        "peers.members: must list 1 to 128 objects, each with id and at");
  CHECK(
      ErrorOf(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 2, "at": "127.0.0.1:1"}]})") ==
      "peers.self: is not in members");
  CHECK(
      ErrorOf(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "x"}]})") ==
      "peers.members[0].at: must be an address such as 127.0.0.10:7400");
  CHECK(
      ErrorOf(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "127.0.0.1:1"}, {"id": 1, "at": "127.0.0.1:2"}]})") ==
      "peers.members[1].id: duplicate id");
  CHECK(ErrorOf(R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [3]})") ==
        "peers.members[0]: must be an object with id and at");
}

TEST_CASE(
    "the fleet and owner blocks use the peers' ids; with a listen of their own they use their own "
    "addresses") {
  CHECK(ErrorOf(WithFleet("2", "", R"({"id": 1, "zone": "a"}, {"id": 2, "zone": "a"})")) == "");
  CHECK(ErrorOf(WithFleet("1", "", R"({"id": 1, "zone": "a"})")) ==
        "fleet.self: must equal peers.self, whose socket the fleet uses");
  CHECK(ErrorOf(WithFleet("2", "", R"({"id": 3, "zone": "a"}, {"id": 2, "zone": "a"})")) ==
        "fleet.members[0].id: is not in peers.members, whose socket the fleet uses");
  CHECK(ErrorOf(WithFleet("2", "", R"({"id": 2, "at": "127.0.0.1:1", "zone": "a"})")) ==
        "fleet.members[0].at: is allowed only with fleet.listen; addresses come from "
        "peers.members");
  CHECK(ErrorOf(WithFleet("0", R"(, "listen": "127.0.0.10:7500")",
                          R"({"id": 0, "at": "127.0.0.1:1", "zone": "a"})")) == "");
  CHECK(
      ErrorOf(
          R"("fleet": {"self": 0, "zones": [{"name": "a", "region": "n"}], "members": [{"id": 0, "at": "127.0.0.1:1", "zone": "a"}]})") ==
      "fleet.listen: must be an address such as 127.0.0.10:7400");
  CHECK(ErrorOf(WithOwner(R"({"id": 1}, {"id": 2}, {"id": 3})",
                          R"({"id": 1000, "at": "127.0.0.1:1"})")) ==
        "owner.members[2].id: is not in peers.members, whose socket the owner uses");
  CHECK(ErrorOf(WithOwner(R"({"id": 1, "at": "127.0.0.1:1"}, {"id": 2})",
                          R"({"id": 1000, "at": "127.0.0.1:1"})")) ==
        "owner.members[0].at: is allowed only with owner.listen; addresses come from "
        "peers.members");
  CHECK(ErrorOf(WithOwner(R"({"id": 1}, {"id": 2})", R"({"id": 2, "at": "127.0.0.1:1"})")) ==
        "owner.places[0].id: duplicate id");
  CHECK(ErrorOf(WithOwner(R"({"id": 2})", R"({"id": 1, "at": "127.0.0.1:1"})")) ==
        "owner.places[0].id: is the id of a peer");
}
