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
 * Merges the JSON log lines of one request from several files into a timeline. Adds up to
 * {@value #MAX_LINES_PER_ENDPOINT} lines about each endpoint of the request: the last from the nodes that handled the
 * request, not later than the last line of the request. Not thread-safe.
 */
@Parameters(commandDescription = "Show the timeline of one request from the JSON log files of several entry nodes")
final class ExplainCommand extends CommonOptions {
    /** Maximum number of lines shown for each endpoint. */
    private static final int MAX_LINES_PER_ENDPOINT = 3;

    private static final Set<String> PREFIX_KEYS = Set.of("at_ms", "node", "event", "name", "subject");

    @Parameter(description = "REQUEST_ID FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    private final ObjectMapper mapper = new ObjectMapper();

    @Override
    public int run() throws Exception {
        String id = arguments.get(0);
        List<JsonNode> allLines = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            allLines.addAll(read(Path.of(file)));
        }
        List<JsonNode> requestLines =
                allLines.stream().filter(l -> subject(l).equals(id)).toList();
        if (requestLines.isEmpty()) {
            System.err.println("no log line has the subject " + id);
            return 1;
        }
        List<JsonNode> timeline = new ArrayList<>(requestLines);
        timeline.addAll(endpointLines(allLines, requestLines));
        timeline.sort(Comparator.comparingLong(ExplainCommand::timeMillis));
        timeline.forEach(this::print);
        return 0;
    }

    /**
     * The last lines about each endpoint of the request, from the nodes that handled the request, until its last line.
     */
    private static List<JsonNode> endpointLines(List<JsonNode> allLines, List<JsonNode> requestLines) {
        Set<String> endpoints = new HashSet<>();
        Set<String> nodes = new HashSet<>();
        for (JsonNode l : requestLines) {
            nodes.add(l.path("node").asText());
            if (l.has("endpoint")) {
                endpoints.add(l.path("endpoint").asText());
            }
        }
        long end = requestLines.stream()
                .mapToLong(ExplainCommand::timeMillis)
                .max()
                .orElse(0);
        List<JsonNode> lines = new ArrayList<>();
        for (String e : endpoints) {
            allLines.stream()
                    .filter(l -> subject(l).equals(e)
                            && nodes.contains(l.path("node").asText())
                            && timeMillis(l) <= end)
                    .sorted(Comparator.comparingLong(ExplainCommand::timeMillis).reversed())
                    .limit(MAX_LINES_PER_ENDPOINT)
                    .forEach(lines::add);
        }
        return lines;
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

    private void parse(String json, List<JsonNode> target) {
        try {
            JsonNode n = mapper.readTree(json);
            if (n.has("event") && n.has("subject")) {
                target.add(n);
            }
        } catch (JsonProcessingException e) {
            // Skips other output of the process and truncated lines.
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
                timeMillis(l),
                l.path("node").asText(),
                l.path("event").asInt(),
                l.path("name").asText(),
                subject(l),
                fields);
    }

    private static void append(StringBuilder target, Map.Entry<String, JsonNode> field) {
        if (!PREFIX_KEYS.contains(field.getKey())) {
            target.append(' ')
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue().asText());
        }
    }

    private static long timeMillis(JsonNode l) {
        return l.path("at_ms").asLong();
    }

    private static String subject(JsonNode l) {
        return l.path("subject").asText();
    }
}
