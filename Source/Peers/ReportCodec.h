#pragma once

#include "Sardineford/Fleet/StoreView.h"
#include "Sardineford/Fleet/VersionRecord.h"

namespace sardineford::messages {
class LoadShare;
} // namespace sardineford::messages

namespace sardineford::peers {

/// Writes the digests of the store's objects.
void encodeDigests(const fleet::StoreView &view, messages::LoadShare &out);
/// Writes how recent the store view is. This changes at any time and does not
/// make a report due.
void encodeAnswerAges(const fleet::StoreView &view, messages::LoadShare &out);
fleet::StoreView decodeStoreView(const messages::LoadShare &in);

/// Writes changes without their objects.
void encodeChangesHead(const fleet::PublishedChanges &changes,
                       messages::LoadShare &out);
fleet::PublishedChanges decodeChanges(const messages::LoadShare &in);

/// Makes a datagram of a record in the store. Earlier builds drop it.
messages::LoadShare encodeVersionRecord(const fleet::VersionRecord &record);
fleet::VersionRecord decodeVersionRecord(const messages::LoadShare &in);

} // namespace sardineford::peers
