#include <LibNotes/Readers.h>

namespace chive {

Milliseconds readInterval(const ReaderView &view, TimePoint now)
{
    if (view.rankInDataCentre < readersPerDataCentre || view.hasGap)
        return readerInterval;
    const bool hearsPeers
            = view.lastHeardFromPeer && now - *view.lastHeardFromPeer < peerSilenceLimit;
    return hearsPeers ? listenerInterval : readerInterval;
}

} // namespace chive
