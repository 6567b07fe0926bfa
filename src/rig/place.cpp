// dunlinwick_place: a stand-in for whoever carries the fleet's work out (a cache, the head office,
// the ledger of changes). It answers owners' actions through a fence and tells on standard output
// what landed, on standard error what was refused.
//
//   dunlinwick_place --listen 127.0.0.180:7600 --id 1000 --front 1=127.0.0.100:8001 --front 2=...
#include <poll.h>
#include <CLI/CLI.hpp>

#include <cstdio>

#include "loop/connection.hpp"
#include "owner/fence.hpp"
#include "owner/node.hpp"

using namespace dunlinwick;

namespace {

struct Place final : loop::Handler {
  loop::Loop& loop;
  loop::Descriptor socket;
  owner::Id id;
  std::map<owner::Id, loop::Address> fronts;
  owner::FencingTokenCheck fence;
  Place(loop::Loop& l, int fd, owner::Id i) : loop(l), socket(l.environment(), fd), id(i) {}

  void OnReady(short) override {
    std::vector<char> buffer(2048);
    loop::Address from{};
    for (ssize_t got = 0;
         (got = loop.environment().ReceiveFrom(socket.Get(), buffer, from)) >= 0;) {
      auto f = owner::DecodeFrame({buffer.data(), static_cast<std::size_t>(got)});
      auto d = f && f->kind == owner::MessageKind::kStepRequest ? owner::DecodeStepRequest(f->body)
                                                                : std::nullopt;
      if (!d)
        continue;
      owner::StepResponse did{*d, fence.Check(d->task, d->token, d->step), 0};
      did.highest_token = fence.HighestToken(d->task);
      bool landed = did.result == owner::FencingResult::kDone;
      std::fprintf(landed || did.result == owner::FencingResult::kAlreadyDone ? stdout : stderr,
                   "%s %s token %llu step %llu front %u highest %llu at %.0f: %s\n",
                   landed                                             ? "landed"
                   : did.result == owner::FencingResult::kAlreadyDone ? "known"
                                                                      : "refused",
                   d->task.c_str(), static_cast<unsigned long long>(d->token),
                   static_cast<unsigned long long>(d->step), f->from,
                   static_cast<unsigned long long>(did.highest_token), loop.now(),
                   owner::ToString(did.result));
      if (auto at = fronts.find(f->from); at != fronts.end())
        loop.environment().SendTo(socket.Get(), owner::EncodeStepResponse(id, did), at->second);
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"a stand-in for whoever carries the fleet's work out, behind a fence"};
  std::string listen;
  owner::Id id = 0;
  std::vector<std::string> fronts;
  app.add_option("--listen", listen, "its UDP socket")->required();
  app.add_option("--id", id, "the executor's id, one of the owner block's places")->required();
  app.add_option("--front", fronts, "ID=ADDRESS of a front; again for each")->required();
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  loop::Loop loop;
  auto at = loop::ReadAddress(listen);
  int fd = at ? loop.environment().OpenDatagrams(*at) : -1;
  if (fd < 0) {
    std::fprintf(stderr, "dunlinwick_place: %s cannot be had\n", listen.c_str());
    return 1;
  }
  Place place(loop, fd, id);
  for (const std::string& one : fronts) {
    std::size_t eq = one.find('=');
    auto to = eq == one.npos ? std::nullopt : loop::ReadAddress(one.substr(eq + 1));
    if (!to) {
      std::fprintf(stderr, "dunlinwick_place: --front %s: ID=ADDRESS wanted\n", one.c_str());
      return 1;
    }
    place.fronts[static_cast<owner::Id>(std::strtoul(one.c_str(), nullptr, 10))] = *to;
  }
  loop.WatchDescriptor(place.socket.Get(), place, POLLIN);
  loop.Run();
}
