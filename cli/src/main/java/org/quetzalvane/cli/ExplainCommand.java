package org.quetzalvane.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Tells one request's story from the structured lines of several processes: its own lines in order of time, and the
 * last lines before it ended that tell what its nodes believed of the endpoints concerned. Not thread-safe.
 */
@Parameters(commandDescription = "Tell the story of one request from the logs of several nodes")
final class ExplainCommand extends CommonOptions {
    /** Lines of belief kept for each endpoint and node. */
    private static final int BELIEFS = 3;

    private static final Set<String> SHOWN_APART = Set.of("at_ms", "node", "event", "name", "subject");

    @Parameter(description = "REQUEST_ID FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public int run() throws Exception {
        String id = arguments.get(0);
        List<JsonNode> all = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            all.addAll(read(Path.of(file)));
        }
        List<JsonNode> own = all.stream().filter(l -> subject(l).equals(id)).toList();
        if (own.isEmpty()) {
            System.err.println("no line names request " + id);
            return 1;
        }
        List<JsonNode> story = new ArrayList<>(own);
        story.addAll(beliefs(all, own));
        story.sort(Comparator.comparingLong(ExplainCommand::at));
        story.forEach(this::print);
        return 0;
    }

    /** The last lines on each endpoint that the request met, by the nodes that served it, until it ended. */
    private static List<JsonNode> beliefs(List<JsonNode> all, List<JsonNode> own) {
        Set<String> endpoints = new HashSet<>();
        Set<String> nodes = new HashSet<>();
        for (JsonNode l : own) {
            nodes.add(l.path("node").asText());
            if (l.has("endpoint")) {
                endpoints.add(l.path("endpoint").asText());
            }
        }
        long end = own.stream().mapToLong(ExplainCommand::at).max().orElse(0);
        List<JsonNode> found = new ArrayList<>();
        for (String e : endpoints) {
            all.stream()
                    .filter(l -> subject(l).equals(e)
                            && nodes.contains(l.path("node").asText())
                            && at(l) <= end)
                    .sorted(Comparator.comparingLong(ExplainCommand::at).reversed())
                    .limit(BELIEFS)
                    .forEach(found::add);
        }
        return found;
    }

    private List<JsonNode> read(Path file) throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String l = in.readLine(); l != null; l = in.readLine()) {
                int brace = l.indexOf('{');
                if (brace >= 0) {
                    parse(l.substring(brace), lines);
                }
            }
        }
        return lines;
    }

    private void parse(String json, List<JsonNode> to) {
        try {
            JsonNode n = mapper.readTree(json);
            if (n.has("event") && n.has("subject")) {
                to.add(n);
            }
        } catch (JsonProcessingException e) {
            // Other output of the process, or a line cut at its end; neither tells of a decision.
            return;
        }
    }

    private void print(JsonNode l) {
        if (json()) {
            System.out.println(l);
            return;
        }
        StringBuilder fields = new StringBuilder();
        l.fields().forEachRemaining(f -> append(fields, f));
        System.out.printf(
                "%d %s %d %s %s%s%n",
                at(l),
                l.path("node").asText(),
                l.path("event").asInt(),
                l.path("name").asText(),
                subject(l),
                fields);
    }

    private static void append(StringBuilder to, Map.Entry<String, JsonNode> field) {
        if (!SHOWN_APART.contains(field.getKey())) {
            to.append(' ')
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue().asText());
        }
    }

    private static long at(JsonNode l) {
        return l.path("at_ms").asLong();
    }

    private static String subject(JsonNode l) {
        return l.path("subject").asText();
    }
}
