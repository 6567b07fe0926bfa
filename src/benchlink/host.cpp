#include "benchlink/host.hpp"

#include "sheet/sheet.hpp"

namespace dunlinwick::benchlink {

std::string Host::answer(const Header& header, std::string_view body) {
  Reader in(body);
  Writer out;
  int front = -1, named = -1;
  auto speakFor = [&](int who) {
    if (named != who) writeSource(static_cast<unsigned>(named = who), out);
  };
  for (std::uint32_t i = 0; i < header.records; ++i) {
    unsigned code = in.u16();
    if (code == codeOn) {
      front = in.u16();
      continue;
    }
    if (front < 0) throw WireFault("a record before any On");
    unsigned who = static_cast<unsigned>(front);
    if (code == codeKill) {
      fronts_.erase(who);
      continue;
    }
    if (code == codeAttach) {
      std::uint64_t seed = in.u64();
      StoreSheet sheet = sheet::readSheet(in.take(in.u32()));
      fronts_.erase(who);
      fronts_.emplace(who, Router(sheet, seed));
      continue;
    }
    Event event = readEvent(code, in);
    auto at = fronts_.find(who);
    if (at == fronts_.end()) continue;  // news for a front that was killed
    try {
      for (const Action& action : at->second.handle(header.clock, event)) {
        if (std::holds_alternative<TellHealth>(action)) continue;  // no word for it here
        speakFor(front);
        writeAction(action, out);
      }
    } catch (const std::exception& fault) {
      speakFor(front);
      writeBailOut(fault.what(), out);
    }
  }
  if (!in.empty()) throw WireFault("bytes left over after the last record");
  Writer reply;
  writeReplyHeader(static_cast<std::uint32_t>(out.bytes.size()), header.batch, reply);
  return reply.bytes + out.bytes;
}

}  // namespace dunlinwick::benchlink
