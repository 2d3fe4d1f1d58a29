#pragma once

#include "Sardineford/Common/Time.h"

#include <array>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// Where a faulty server sends bytes without an end.
enum class EndlessForm {
  /// In the first header of the response.
  Header,
  /// Informational responses, one after the other.
  Informational,
  /// Where the size of the first chunk is due.
  ChunkSize,
  ChunkExtension,
  /// In the first field after the last chunk.
  Trailer,
  /// In the first event of a stream.
  Event,
  /// An event of comment lines.
  CommentLines,
  /// Complete events of one comment each.
  Comments,
  /// One event in chunks of one byte.
  OneByteChunks,
  /// In a body that ends with its connection and is no stream.
  Body,
  /// The same with status 500.
  ErrorBody,
  /// A complete event, then one event of which a byte comes now and then.
  Trickle,
  /// No response at all: bytes without a line break, empty lines, lines of
  /// letters, zeros.
  Letters,
  EmptyLines,
  Lines,
  Zeros,
  /// In the reason phrase of the status line.
  Reason,
  /// One header after the other.
  Headers,
};

/// Forms without a sound head.
inline constexpr std::array<EndlessForm, 8> EndlessHeads = {
    EndlessForm::Header,     EndlessForm::Informational, EndlessForm::Letters,
    EndlessForm::EmptyLines, EndlessForm::Lines,         EndlessForm::Zeros,
    EndlessForm::Reason,     EndlessForm::Headers};

/// Forms that soak runs choose from. Seeds of earlier runs depend on the
/// number.
inline constexpr std::array<EndlessForm, 11> EndlessForms = {
    EndlessForm::Header,        EndlessForm::Informational,
    EndlessForm::ChunkSize,     EndlessForm::ChunkExtension,
    EndlessForm::Trailer,       EndlessForm::Event,
    EndlessForm::CommentLines,  EndlessForm::Comments,
    EndlessForm::OneByteChunks, EndlessForm::Body,
    EndlessForm::ErrorBody};

std::string_view toString(EndlessForm form);

/// Bytes of a response without an end.
struct EndlessBytes {
  std::string Begin;
  /// Sent again and again.
  std::string Block;
  /// Between two blocks; 1 ms is about 200 Mbit/s.
  Milliseconds Pause{1};
};

/// Makes a response without an end that has the fields of a sound one, other
/// than those of its framing. `head` begins with that of the sound one.
EndlessBytes makeEndless(EndlessForm form, std::string_view head);

} // namespace sardineford::standins
