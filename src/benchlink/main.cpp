// Adapter to the simulator: reads batches from standard input and writes one reply to each on
// standard output, until the input ends.
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "benchlink/host.hpp"

using namespace dunlinwick::benchlink;

// Reads exactly `size` bytes; false if the input ended before the first one.
static bool ReadAll(std::string& bytes, std::size_t size) {
  bytes.clear();
  char chunk[1 << 16];
  while (bytes.size() < size) {
    std::size_t chunk_size = std::min(sizeof chunk, size - bytes.size());
    ssize_t received = ::read(STDIN_FILENO, chunk, chunk_size);
    if (received < 0 && errno == EINTR)
      continue;
    if (received < 0)
      throw FrameError("standard input cannot be read");
    if (received == 0 && bytes.empty())
      return false;
    if (received == 0)
      throw FrameError("truncated frame: input ended inside it");
    bytes.append(chunk, static_cast<std::size_t>(received));
  }
  return true;
}

static void WriteAll(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0)
      throw FrameError("standard output cannot be written");
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

int main() {
  try {
    Host host;
    std::string header_bytes, body;
    while (ReadAll(header_bytes, kHeaderSize)) {
      Header header = ReadHeader(header_bytes);
      if (header.length > 0 && !ReadAll(body, header.length))
        throw FrameError("truncated frame: input ended inside it");
      if (header.length == 0)
        body.clear();
      WriteAll(host.HandleBatch(header, body));
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dunlinwick_benchlink: %s\n", error.what());
    return 1;
  }
}
