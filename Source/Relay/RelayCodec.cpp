/// \file
/// Encodes messages between proxies into compressed frames.

#include "Relay/RelayCodec.h"

#include "Common/Codec.h"

#include <utility>

namespace corianderdyke {

namespace {

/// Largest decompressed size of a frame: above the largest statement or answer
/// that a stream carries.
constexpr std::size_t MaxFrameContent = 8U << 20U; // bytes

TargetCommand command(TargetCommand::Kind Operation, const char *Text = "") {
  TargetCommand Out;
  Out.Operation = Operation;
  Out.Text = Text;
  Out.Priority = 1;
  Out.MaxQueueTime = Millis(50);
  return Out;
}

} // namespace

std::string RelayCodec::compressionDictionary() {
  TargetCommand Write = command(TargetCommand::Kind::Run, "STORE ");
  Write.NeedsPrevious = true;
  TargetCommand Read = command(TargetCommand::Kind::Run, "FETCH ");
  Read.MinPosition = LogPosition{1, 1};
  StatementAnswer Empty;
  Empty.Position = LogPosition{1, 1};
  StatementAnswer Rows = Empty;
  Rows.Rows = {""};
  Rows.Signature = " ";
  StatementAnswer LaggingAnswer = Empty;
  LaggingAnswer.Refusal = StatementRefusal{RefusalCode::Lagging, ""};
  return encode(std::vector<RelayMessage>{
             RelayOpen{}, RelayCommands{1, {Read}},
             RelayCommands{1, {command(TargetCommand::Kind::Run, "COMMIT")}},
             RelayCommands{1,
                           {command(TargetCommand::Kind::Begin), Write,
                            command(TargetCommand::Kind::Rollback)}}}) +
         encode(std::vector<RelayMessage>{
             RelayAnswer{1, 1, LaggingAnswer, std::nullopt},
             RelayAnswer{1, 1, Empty, RelayFloor{{1, 1}, Millis(5)}},
             RelayAnswer{1, 1, Rows, std::nullopt,
                         ReplicaReport{"", {1, 1}, Millis(5)}},
             RelayAnswer{1, 1, Empty, std::nullopt}});
}

RelayCodec::RelayCodec() : Compressor(compressionDictionary()) {}

std::string RelayCodec::write(const std::vector<RelayMessage> &Messages) {
  return FormatVersion + Compressor.compress(encode(Messages));
}

Expected<std::vector<RelayMessage>> RelayCodec::read(const std::string &Frame) {
  if (Frame.empty() || Frame.front() != FormatVersion)
    return fail(ErrorCode::Corrupt, "a frame of another format");
  const auto Bytes = Compressor.decompress(Frame.substr(1), MaxFrameContent);
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  return decode<std::vector<RelayMessage>>(*Bytes);
}

RelayOutbox::~RelayOutbox() {
  if (FlushTimer != 0)
    Timers.cancel(FlushTimer);
}

void RelayOutbox::reset(std::shared_ptr<PeerStream> To) {
  Batch.clear();
  Stream = std::move(To);
}

void RelayOutbox::send(RelayMessage Message) {
  if (!Stream)
    return;
  Batch.push_back(std::move(Message));
  if (Batch.size() >= MaxBatch)
    return flush();
  if (FlushTimer == 0)
    FlushTimer = Timers.after(Millis(0), [this] {
      FlushTimer = 0;
      flush();
    });
}

void RelayOutbox::flush() {
  // Held, because sending may end the stream and reset the outbox.
  const std::shared_ptr<PeerStream> Current = Stream;
  if (Current && !Batch.empty())
    Current->send(Frames.write(std::exchange(Batch, {})));
}

} // namespace corianderdyke
