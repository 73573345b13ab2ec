/// \file
/// A log sink for standard output that never blocks.

#ifndef CORIANDERDYKE_LOGS_NONBLOCKINGSTDOUTSINK_H
#define CORIANDERDYKE_LOGS_NONBLOCKINGSTDOUTSINK_H

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace corianderdyke {

/// Drops and counts lines that cannot be written at once, so that a stalled
/// reader of standard output loses log lines but does not delay the process.
class NonBlockingStdoutSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit NonBlockingStdoutSink(int Descriptor) : Descriptor(Descriptor) {}

  /// Lines dropped since the last call.
  std::uint64_t takeDroppedCount() { return std::exchange(DroppedCount, 0); }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override {}

private:
  int Descriptor;
  std::uint64_t DroppedCount = 0;
};

} // namespace corianderdyke

#endif
