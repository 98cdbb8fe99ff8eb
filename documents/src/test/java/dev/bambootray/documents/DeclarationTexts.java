package dev.bambootray.documents;

/** Texts that several tests start from. */
final class DeclarationTexts {
  static final String SMALL =
      """
      // Two regions and one rack.
      {
        "regions": [
          {"id": "north", "failureDomains": ["north-a"], "linkLatencyMs": {"south": 20}},
          {"id": "south", "failureDomains": ["south-a"]}
        ],
        "services": [{"id": "web", "slotsPerTarget": 8, "connectionsPerTarget": 64}],
        "racks": [
          {
            "id": "r1", "failureDomain": "north-a", "workers": 3,
            "host": "127.0.0.1", "firstPort": 7001,
            "capacity": {"accelerators": 8, "millicores": 32000, "memoryMib": 65536},
            "services": ["web"]
          }
        ],
        "workspaces": [
          {
            "id": "team", "weight": 2,
            "guarantees": [
              {
                "region": "north",
                "shape": {"members": 2, "acceleratorsPerMember": 8, "adjacency": "adjacent-workers"}
              }
            ]
          }
        ],
        "templates": [
          {
            "id": "render", "service": "web", "shape": {"acceleratorsPerMember": 1},
            "parameters": [
              {"name": "runMs", "type": "integer", "minimum": 1, "maximum": 60000, "required": true},
              {"name": "quality", "allowedValues": ["low", "high"], "default": "low"}
            ],
            "expectedRunMs": 500, "maxRunMs": 5000
          }
        ]
      }
      """;

  private DeclarationTexts() {}
}
