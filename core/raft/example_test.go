package raft_test

import (
	"fmt"

	"almondgrade/core/raft"
)

// Three nodes in one program replicate a command. A real owner saves the contents of Ready before it sends the
// messages.
func Example() {
	founding := raft.NewConfiguration(
		raft.Member{ID: 1, Name: "plateau", Voter: true},
		raft.Member{ID: 2, Name: "almadies", Voter: true},
		raft.Member{ID: 3, Name: "pikine", Voter: true},
	)
	saved := raft.PersistentState{
		HardState: raft.HardState{Term: 1},
		Snapshot:  raft.Snapshot{Index: 1, Term: 1, Configuration: founding},
	}
	nodes := make(map[raft.ID]*raft.Node)

	for _, member := range founding.Members {
		node, err := raft.New(raft.Options{ID: member.ID, Persisted: saved, ElectionTicks: 10, HeartbeatTicks: 1})
		if err != nil {
			fmt.Println(err)

			return
		}

		nodes[member.ID] = node
	}

	exchange := func() {
		for busy := true; busy; {
			busy = false

			for _, member := range founding.Members {
				for node := nodes[member.ID]; node.HasReady(); busy = true {
					ready := node.Ready()

					for _, message := range ready.Messages {
						nodes[message.To].Step(message)
					}

					for _, entry := range ready.Committed {
						if entry.Kind == raft.CommandEntry {
							fmt.Printf("%s applies %s\n", member.Name, entry.Data)
						}
					}

					node.Advance()
				}
			}
		}
	}

	// Only the first node's clock advances, so that it starts the election.
	for nodes[1].Status().Role != raft.Leader {
		nodes[1].Tick()
		exchange()
	}

	if _, _, err := nodes[1].Propose([]byte("term 2 of group registry")); err != nil {
		fmt.Println(err)
	}

	exchange()

	// Output:
	// plateau applies term 2 of group registry
	// almadies applies term 2 of group registry
	// pikine applies term 2 of group registry
}
