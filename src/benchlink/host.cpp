#include "benchlink/host.hpp"

#include "sheet/sheet.hpp"

namespace dunlinwick::benchlink {

std::string Host::answer(const Header& header, std::string_view body) {
  Reader in(body);
  Writer out;
  int front = -1, named = -1;
  auto speak_for = [&](int who) {
    if (named != who)
      WriteSource(static_cast<unsigned>(named = who), out);
  };
  for (std::uint32_t i = 0; i < header.records; ++i) {
    unsigned code = in.U16();
    if (code == kCodeOn) {
      front = in.U16();
      continue;
    }
    if (front < 0)
      throw WireFault("a record before any On");
    unsigned who = static_cast<unsigned>(front);
    if (code == kCodeKill) {
      fronts_.erase(who);
      continue;
    }
    if (code == kCodeAttach) {
      std::uint64_t seed = in.U64();
      DeploymentSettings settings = settings::ReadDeploymentSettings(in.Take(in.U32()));
      fronts_.erase(who);
      fronts_.emplace(who, Router(settings, seed));
      continue;
    }
    Event event = ReadEvent(code, in);
    auto at = fronts_.find(who);
    if (at == fronts_.end())
      continue;  // news for a front that was killed
    try {
      for (const Action& action : at->second.Handle(header.clock, event)) {
        if (std::holds_alternative<ReportEndpointHealth>(action))
          continue;  // no word for it here
        speak_for(front);
        WriteAction(action, out);
      }
    } catch (const std::exception& fault) {
      speak_for(front);
      WriteBailOut(fault.what(), out);
    }
  }
  if (!in.empty())
    throw WireFault("bytes left over after the last record");
  Writer reply;
  WriteReplyHeader(static_cast<std::uint32_t>(out.bytes.size()), header.batch, reply);
  return reply.bytes + out.bytes;
}

}  // namespace dunlinwick::benchlink
