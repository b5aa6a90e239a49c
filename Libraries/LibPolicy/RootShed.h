#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>

/// Refusal of callers' requests where they enter, before any target works on them, when a service
/// that their calls lead to is full. Work that is turned away deep in a tree of calls wastes all
/// that ran above it, so whole trees are refused early and those that were begun are finished.
namespace chive {

/// The share of new requests of that importance to refuse at that pressure (PressureReport), 0
/// to 1. The less important, the earlier. The load it answers: demand above the capacity of a
/// service that several kinds of requests lead to.
[[nodiscard]] double shedShare(double pressure, Importance importance);

/// When a request that was refused at that pressure should come back. `draw` is random in 0 to 1
/// and spreads the returns, so that they do not arrive as the next burst.
[[nodiscard]] Milliseconds returnAfter(double pressure, Milliseconds objective, double draw);

} // namespace chive
