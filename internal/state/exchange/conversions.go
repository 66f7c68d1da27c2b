package exchange

import (
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// ToMembers converts member records to messages.
func ToMembers(members []hub.Member) []*message.Member {
	out := make([]*message.Member, len(members))
	for i := range members {
		out[i] = ToMember(&members[i])
	}
	return out
}

// ToMember converts a member record to a message.
func ToMember(m *hub.Member) *message.Member {
	return &message.Member{
		Id:             m.Id,
		Role:           m.Role,
		Address:        m.Address,
		AdminAddress:   m.AdminAddress,
		Group:          m.Group,
		Domain:         m.Domain,
		Region:         m.Region,
		Incarnation:    m.Incarnation,
		Sequence:       m.Sequence,
		State:          m.State,
		ServingVersion: m.ServingVersion,
		ServingRoot:    m.ServingRoot,
		HeldRoot:       m.HeldRoot,
		FetchingRoot:   m.FetchingRoot,
		ChunksHeld:     uint32(m.ChunksHeld),
		ChunksTotal:    uint32(m.ChunksTotal),
		Limit:          uint32(m.Limit),
		Running:        uint32(m.Running),
		Note:           m.Note,
		RulesRevision:  m.RulesRevision,
		Suspected:      m.Suspected,
	}
}

// FromMembers converts messages to member records.
func FromMembers(members []*message.Member) []hub.Member {
	out := make([]hub.Member, len(members))
	for i, m := range members {
		out[i] = FromMember(m)
	}
	return out
}

// FromMember converts a message to a member record.
func FromMember(m *message.Member) hub.Member {
	return hub.Member{
		Id:             m.GetId(),
		Role:           m.GetRole(),
		Address:        m.GetAddress(),
		AdminAddress:   m.GetAdminAddress(),
		Group:          m.GetGroup(),
		Domain:         m.GetDomain(),
		Region:         m.GetRegion(),
		Incarnation:    m.GetIncarnation(),
		Sequence:       m.GetSequence(),
		State:          m.GetState(),
		ServingVersion: m.GetServingVersion(),
		ServingRoot:    m.GetServingRoot(),
		HeldRoot:       m.GetHeldRoot(),
		FetchingRoot:   m.GetFetchingRoot(),
		ChunksHeld:     int(m.GetChunksHeld()),
		ChunksTotal:    int(m.GetChunksTotal()),
		Limit:          int(m.GetLimit()),
		Running:        int(m.GetRunning()),
		Note:           m.GetNote(),
		RulesRevision:  m.GetRulesRevision(),
		Suspected:      m.GetSuspected(),
	}
}
