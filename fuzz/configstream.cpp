// Arbitrary bytes from a configuration service, and an arbitrary version log on disk. The client and the
// store must not crash, must limit their memory, and must not apply a version that was not validated.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "config_stream/client.h"
#include "config_stream/version_store.h"

namespace {

using namespace beamshunt::config_stream;

class SingleFileDisk final : public Disk {
 public:
  explicit SingleFileDisk(std::string_view bytes) : bytes_(bytes) {}
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
  for (std::size_t offset = 0; offset < bytes.size(); offset += 97)
    client.on_bytes(bytes.substr(offset, 97), 1);
  for (Effect& effect : client.take_effects()) {
    auto* validation = std::get_if<Validate>(&effect);
    if (validation && content_hash(validation->candidate.resources) != validation->candidate.hash)
      std::abort();
    if (std::get_if<Apply>(&effect)) std::abort();  // nothing was validated
  }
  try {
    VersionStore store(std::make_shared<SingleFileDisk>(bytes));
    static_cast<void>(store.history().version_to_start());
  } catch (const StoreError&) {  // damaged files are rejected
  }
  return 0;
}
