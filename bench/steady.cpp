// A steady load for counting what a pull costs a front (docs/notes/emulator.md): so many pulls over
// so many connections, each sent when the one before it on its connection was answered. Bounded in
// count; ends by itself.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "loop/connection.hpp"

using namespace dunlinwick::loop;

namespace {

struct Client final : Connection::Owner {
  Client(Loop& l, const Address& at, int& left, int& open)
      : loop(l), todo(left), busy(open), connection(l, *this, at, 2000) {
    Next();
  }
  void Next() {
    if (todo-- <= 0) {
      connection.Close();
      return void(--busy);
    }
    char text[400];
    std::snprintf(
        text, sizeof text,
        "GET /ops/video-parts/%016x?part=%d HTTP/1.1\r\nHost: bench\r\nX-Request-Id: %016x\r\n"
        "X-Timeout-Ms: 4000\r\nX-Group: 17\r\nX-Memory-Kb: 412.5\r\n\r\n",
        static_cast<unsigned>(todo % 97), todo % 7, static_cast<unsigned>(todo));
    connection.Send(text);
  }
  void OnBytesReceived() override {
    std::string_view bytes = connection.in.bytes();
    std::size_t end = bytes.find("\r\n\r\n"), at = bytes.find("Content-Length: ");
    if (end == bytes.npos || at == bytes.npos)
      return;
    std::size_t length = std::strtoul(std::string(bytes.substr(at + 16, 10)).c_str(), nullptr, 10);
    if (bytes.size() < end + 4 + length)
      return;
    answered += bytes.starts_with("HTTP/1.1 200");
    connection.in.Consume(end + 4 + length);
    Next();
  }
  void OnDisconnected(DisconnectReason) override {
    --busy;
  }
  Loop& loop;
  int &todo, &busy;
  static inline int answered = 0;
  Connection connection;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"a bounded steady load for one front"};
  std::string to = "127.0.0.1:8080";
  int requests = 5000, connections = 16;
  app.add_option("--to", to)->capture_default_str();
  app.add_option("--pulls", requests)->capture_default_str()->check(CLI::Range(1, 1000000));
  app.add_option("--connections", connections)->capture_default_str()->check(CLI::Range(1, 200));
  CLI11_PARSE(app, argc, argv);
  auto at = ReadAddress(to);
  if (!at) {
    std::fprintf(stderr, "steady: no address: %s\n", to.c_str());
    return 1;
  }
  Loop loop;
  int left = requests, busy = connections;
  std::vector<std::unique_ptr<Client>> all;
  for (int i = 0; i < connections; ++i)
    all.push_back(std::make_unique<Client>(loop, *at, left, busy));
  Ms end = loop.now() + 300000;
  while (busy > 0 && loop.now() < end)
    loop.RunOnce(100);
  std::printf("%d of %d pulls answered with 200\n", Client::answered, requests);
  return Client::answered == requests ? 0 : 1;
}
