// A toy for trying a front: caches that answer every want, and a notice board without news. It
// keeps nothing but the names it was asked for, so a first pull is filled and a second one is a
// hit.
#include <CLI/CLI.hpp>
#include <memory>
#include <set>

#include "loop/listener.hpp"

using namespace dunlinwick::loop;

namespace {

std::string Field(const std::string& fields, const std::string& name) {
  std::size_t at = ("," + fields).find("," + name + "=");
  return at == std::string::npos
             ? ""
             : fields.substr(at + name.size() + 1, fields.find(',', at) - at - name.size() - 1);
}

std::string place;  // told in every body, where one is named

struct Peer : Connection::Owner {
  Loop& loop;
  bool discovery;
  bool source;
  std::set<std::string>& kept;
  Connection connection;
  Peer(Loop& l, bool is_discovery, bool is_source, std::set<std::string>& names, Descriptor fd)
      : loop(l),
        discovery(is_discovery),
        source(is_source),
        kept(names),
        connection(l, *this, std::move(fd)) {}

  void OnDisconnected(DisconnectReason) override {
    connection.Close();
  }
  void OnBytesReceived() override {
    for (;;) {
      std::string_view bytes = connection.in.bytes();
      std::size_t end = bytes.find('\n');
      if (end == bytes.npos)
        return;
      std::string line(bytes.substr(0, end));
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      std::size_t body =
          line.starts_with("want ") ? std::stoul(line.substr(line.rfind(' '))) + 2 : 0;
      if (bytes.size() < end + 1 + body)
        return;
      connection.in.Consume(end + 1 + body);
      Take(line);
    }
  }
  void Take(const std::string& line) {
    std::printf("%s\n", line.c_str());
    if (discovery)
      return TellNumber(line.substr(line.find(' ') + 1));
    std::size_t one = line.find(' '), two = line.find(' ', one + 1), three = line.rfind(' ');
    std::string what = line.substr(0, one), id = line.substr(one + 1, two - one - 1);
    if (what == "busy" || what == "there")
      connection.Send(id + " PONG - 0\r\n\r\n");
    if (what != "want")
      return;
    std::string fields = line.substr(two + 1, three - two - 1), thing = Field(fields, "thing");
    std::string name = thing + "/" + Field(fields, "nth");
    bool hit = source || kept.count(name) > 0;
    if (!hit && Field(fields, "miss").empty())
      return void(connection.Send(id + " NONE remark=not_there 0\r\n\r\n"));
    kept.insert(name);
    std::string bytes =
        Field(fields, "profile") + " " + name + (place.empty() ? "" : " at " + place) + "\n";
    connection.Send(id + " HIT entity=toy-" + thing +
                    ",issued=" + std::to_string(static_cast<long long>(loop.now())) +
                    ",remark=" + (hit ? "local" : "pulled") + " " + std::to_string(bytes.size()) +
                    "\r\n" + bytes + "\r\n");
  }
  void TellNumber(const std::string& number) {
    if (connection.IsEnded())
      return;
    connection.Send(number + "\n");
    loop.RunAt(loop.now() + 1000, [this, number] { TellNumber(number); });
  }
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"toy caches and a notice board, to try a front with"};
  std::string discovery;
  std::vector<std::string> caches, sources;
  app.add_option("--board", discovery, "address of the notice board");
  app.add_option("--cache", caches, "address of a cache; again for each");
  app.add_option("--source", sources,
                 "address of a parent or origin, which holds everything; again for each");
  app.add_option("--place", place, "told in every body: which toy it came from");
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Loop loop;
  std::vector<std::unique_ptr<Peer>> peers;  // a toy: kept until the end
  std::vector<std::unique_ptr<std::set<std::string>>> kept;
  std::vector<std::unique_ptr<Listener>> listeners;
  auto open = [&](const std::string& one, bool is_discovery, bool is_source) {
    auto at = ReadAddress(one);
    if (!at)
      throw std::runtime_error("no address: " + one);
    kept.push_back(std::make_unique<std::set<std::string>>());
    listeners.push_back(std::make_unique<Listener>(
        loop, *at, [&loop, &peers, &names = *kept.back(), is_discovery, is_source](Descriptor fd) {
          peers.push_back(
              std::make_unique<Peer>(loop, is_discovery, is_source, names, std::move(fd)));
        }));
  };
  try {
    if (!discovery.empty())
      open(discovery, true, false);
    for (const std::string& one : caches)
      open(one, false, false);
    for (const std::string& one : sources)
      open(one, false, true);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "dunlinwick_toy: %s\n", fault.what());
    return 1;
  }
  loop.Run();
}
