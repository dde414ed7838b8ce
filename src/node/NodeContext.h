#pragma once

#include "support/Time.h"

namespace Carawaymill {

class CatalogueReplica;
class Fleet;
class KeyValueCalls;
class NodeOutput;
class TargetTable;

/// State shared by the parts of a node while they handle one event.
struct NodeContext
{
    TimePoint now;
    NodeOutput &output;
    const CatalogueReplica &catalogue;
    const Fleet &fleet;
    TargetTable &targets;
    KeyValueCalls &keyValue;
};

} // namespace Carawaymill
