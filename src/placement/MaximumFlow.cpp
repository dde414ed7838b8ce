#include "placement/MaximumFlow.h"

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>

#include <algorithm>
#include <cmath>

namespace Carawaymill {

namespace {

using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Vertex = Traits::vertex_descriptor;
using Edge = Traits::edge_descriptor;

struct EdgeState
{
    std::int64_t capacity = 0;
    std::int64_t residual = 0;
    Edge reverse;
};

using Graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS, boost::no_property, EdgeState>;

/// Edge capacities are integers, in thousandths of a token per second.
constexpr double unitsPerToken = 1000;
constexpr double maximumUnits = 1e15;

std::int64_t units(double tokens)
{
    return static_cast<std::int64_t>(std::min(tokens * unitsPerToken, maximumUnits));
}

/// The flow graph of one placement. Adjoining layers that are held by the same targets share a vertex.
class FlowGraph
{
public:
    FlowGraph(const std::vector<FlowTarget> &targets, std::uint32_t layers);

    /// Whether every layer can get a flow of `perLayer` thousandths of a token per second.
    [[nodiscard]] bool carries(std::int64_t perLayer);

private:
    Edge connect(Vertex from, Vertex to, std::int64_t capacity);

    Graph m_graph;
    Vertex m_source = 0;
    Vertex m_sink = 1;

    struct SegmentEdge
    {
        Edge edge;
        std::uint32_t layers = 0;
    };

    std::vector<SegmentEdge> m_toSink;
};

FlowGraph::FlowGraph(const std::vector<FlowTarget> &targets, std::uint32_t layers)
    : m_graph(2)
{
    std::vector<LayerIndex> boundaries{LayerIndex(0), LayerIndex(layers)};
    for (const FlowTarget &target : targets) {
        boundaries.push_back(std::min(target.layers.first, LayerIndex(layers)));
        boundaries.push_back(std::min(target.layers.end, LayerIndex(layers)));
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    std::vector<Vertex> segments;
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        segments.push_back(boost::add_vertex(m_graph));
        m_toSink.push_back({connect(segments.back(), m_sink, 0), LayerRange{boundaries[i], boundaries[i + 1]}.size()});
    }
    for (const FlowTarget &target : targets) {
        const Vertex vertex = boost::add_vertex(m_graph);
        connect(m_source, vertex, units(target.layerTokensPerSecond));
        for (std::size_t i = 0; i < segments.size(); ++i) {
            if (const LayerRange segment{boundaries[i], boundaries[i + 1]}; target.layers.contains(segment)) {
                connect(vertex, segments[i], units(target.linkTokensPerSecond * segment.size()));
            }
        }
    }
}

Edge FlowGraph::connect(Vertex from, Vertex to, std::int64_t capacity)
{
    const Edge forward = boost::add_edge(from, to, m_graph).first;
    const Edge backward = boost::add_edge(to, from, m_graph).first;
    m_graph[forward].capacity = capacity;
    m_graph[forward].reverse = backward;
    m_graph[backward].reverse = forward;
    return forward;
}

bool FlowGraph::carries(std::int64_t perLayer)
{
    std::int64_t required = 0;
    for (const auto &[edge, layers] : m_toSink) {
        m_graph[edge].capacity = perLayer * layers;
        required += m_graph[edge].capacity;
    }
    const std::int64_t flow = boost::push_relabel_max_flow(m_graph,
                                                           m_source,
                                                           m_sink,
                                                           boost::get(&EdgeState::capacity, m_graph),
                                                           boost::get(&EdgeState::residual, m_graph),
                                                           boost::get(&EdgeState::reverse, m_graph),
                                                           boost::get(boost::vertex_index, m_graph));
    return flow == required;
}

} // namespace

double throughputBound(const std::vector<FlowTarget> &targets, std::uint32_t layers)
{
    if (layers == 0) {
        return 0;
    }
    std::int64_t possible = 0;
    std::int64_t impossible = 0;
    for (const FlowTarget &target : targets) {
        impossible += units(target.layerTokensPerSecond);
    }
    impossible = impossible / layers + 1;
    FlowGraph graph(targets, layers);
    while (impossible - possible > 1) {
        const std::int64_t middle = (possible + impossible) / 2;
        (graph.carries(middle) ? possible : impossible) = middle;
    }
    return static_cast<double>(possible) / unitsPerToken;
}

} // namespace Carawaymill
