/// \file
/// Log lines to standard output without ever waiting for its reader.

#ifndef CORIANDERDYKE_LOGS_NONBLOCKINGSTDOUTSINK_H
#define CORIANDERDYKE_LOGS_NONBLOCKINGSTDOUTSINK_H

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace corianderdyke {

/// A reader that stands still costs lines, not service: what doesn't fit at
/// once is left out and counted.
class NonBlockingStdoutSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit NonBlockingStdoutSink(int Descriptor) : Descriptor(Descriptor) {}

  /// Lines left out since the last call.
  std::uint64_t takeDroppedCount() { return std::exchange(LeftOut, 0); }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override {}

private:
  int Descriptor;
  std::uint64_t LeftOut = 0;
};

} // namespace corianderdyke

#endif
