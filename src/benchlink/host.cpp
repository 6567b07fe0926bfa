#include "benchlink/host.hpp"

#include "sheet/sheet.hpp"

namespace dunlinwick::benchlink {

std::string Host::HandleBatch(const Header& header, std::string_view body) {
  Reader in(body);
  Writer out;
  int front = -1, selected = -1;
  auto select_front = [&](int id) {
    if (selected != id)
      WriteFrontSelector(static_cast<unsigned>(selected = id), out);
  };
  for (std::uint32_t i = 0; i < header.records; ++i) {
    unsigned code = in.U16();
    if (code == kCodeOn) {
      front = in.U16();
      continue;
    }
    if (front < 0)
      throw FrameError("record before the first On");
    unsigned id = static_cast<unsigned>(front);
    if (code == kCodeKill) {
      fronts_.erase(id);
      continue;
    }
    if (code == kCodeAttach) {
      std::uint64_t seed = in.U64();
      DeploymentSettings settings = settings::ReadDeploymentSettings(in.ReadBytes(in.U32()));
      fronts_.erase(id);
      fronts_.emplace(id, Router(settings, seed));
      continue;
    }
    Event event = ReadEvent(code, in);
    auto found = fronts_.find(id);
    if (found == fronts_.end())
      continue;  // an event for a front that was killed
    try {
      for (const Action& action : found->second.Handle(header.clock, event)) {
        if (std::holds_alternative<ReportEndpointHealth>(action))
          continue;  // the simulator's protocol has no such action
        select_front(front);
        WriteAction(action, out);
      }
    } catch (const std::exception& error) {
      select_front(front);
      WriteFrontError(error.what(), out);
    }
  }
  if (!in.empty())
    throw FrameError("trailing bytes after the last record");
  Writer reply;
  WriteReplyHeader(static_cast<std::uint32_t>(out.bytes.size()), header.batch, reply);
  return reply.bytes + out.bytes;
}

}  // namespace dunlinwick::benchlink
