// Bytes from a hostile configuration service, and a log of versions from a hostile disk: no crash, no promise
// broken, bounded memory.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "config_stream/client.h"
#include "config_stream/version_store.h"

namespace {

using namespace beamshunt::config_stream;

class OneFile final : public Disk {
 public:
  explicit OneFile(std::string_view bytes) : bytes_(bytes) {}
  std::optional<std::string> read(const std::string&) override { return bytes_; }
  void append(const std::string&, std::string_view) override {}
  void truncate(const std::string&, std::size_t size) override { bytes_.resize(size); }
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
  Client client({.origin = "o", .max_frame_bytes = 4096, .max_version_bytes = 8192, .max_resources = 8}, {},
                0, {}, 0);
  client.run_once(0);
  client.on_connected(0);
  for (std::size_t at = 0; at < bytes.size(); at += 97) client.on_bytes(bytes.substr(at, 97), 1);
  for (Effect& e : client.take_effects()) {
    auto* check = std::get_if<Validate>(&e);
    if (check && content_hash(check->candidate.resources) != check->candidate.hash) std::abort();
    if (std::get_if<Apply>(&e)) std::abort();  // nothing was validated
  }
  try {
    VersionStore store(std::make_shared<OneFile>(bytes));
    static_cast<void>(store.history().version_to_start());
  } catch (const StoreError&) {  // damage is refused
  }
  return 0;
}
