// Reads batches on standard input, writes one reply each on standard output, until input ends.
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "benchlink/host.hpp"

using namespace dunlinwick::benchlink;

// Fills `bytes` up to `want`; false when input ended before the first byte.
static bool ReadAll(std::string& bytes, std::size_t want) {
  bytes.clear();
  char chunk[1 << 16];
  while (bytes.size() < want) {
    std::size_t ask = std::min(sizeof chunk, want - bytes.size());
    ssize_t got = ::read(STDIN_FILENO, chunk, ask);
    if (got < 0 && errno == EINTR)
      continue;
    if (got < 0)
      throw WireFault("standard input cannot be read");
    if (got == 0 && bytes.empty())
      return false;
    if (got == 0)
      throw WireFault("truncated frame: input ended inside it");
    bytes.append(chunk, static_cast<std::size_t>(got));
  }
  return true;
}

static void WriteAll(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t put = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (put < 0 && errno == EINTR)
      continue;
    if (put < 0)
      throw WireFault("standard output cannot be written");
    bytes.remove_prefix(static_cast<std::size_t>(put));
  }
}

int main() {
  try {
    Host host;
    std::string head, body;
    while (ReadAll(head, kHeaderSize)) {
      Header header = ReadHeader(head);
      if (header.length > 0 && !ReadAll(body, header.length))
        throw WireFault("truncated frame: input ended inside it");
      if (header.length == 0)
        body.clear();
      WriteAll(host.answer(header, body));
    }
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "dunlinwick_benchlink: %s\n", fault.what());
    return 1;
  }
}
