// Bytes from a hostile configuration service, and a log of versions from a hostile disk: no crash, no promise
// broken, bounded memory.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <stdexcept>

#include "config_stream/client.h"
#include "config_stream/store.h"

namespace {

using namespace beamshunt::config_stream;

class OneFile final : public Disk {
 public:
  explicit OneFile(std::string_view bytes) : bytes_(bytes) {}
  std::optional<std::string> read(const std::string&) override { return bytes_; }
  void append(const std::string&, std::string_view) override {}
  void cut(const std::string&, std::size_t size) override { bytes_.resize(size); }
  void sync(const std::string&) override {}
  void rename(const std::string&, const std::string&) override {}
  void remove(const std::string&) override {}
  void sync_folder() override {}

 private:
  std::string bytes_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Client client({.origin = "o", .most_frame = 4096, .most_bytes = 8192, .most_resources = 8}, {}, 0, {}, 0);
  client.turn(0);
  client.connected(0);
  for (std::size_t at = 0; at < bytes.size(); at += 97) client.bytes(bytes.substr(at, 97), 1);
  for (Effect& e : client.take_effects()) {
    auto* check = std::get_if<Check>(&e);
    if (check && content_hash(check->candidate.resources) != check->candidate.hash) std::abort();
    if (std::get_if<Apply>(&e)) std::abort();  // nothing has passed the gate
  }
  try {
    Store store(std::make_shared<OneFile>(bytes));
    const Version* abandoned = nullptr;
    store.ledger().to_start(&abandoned);
  } catch (const std::runtime_error&) {  // damage is refused
  }
  return 0;
}
